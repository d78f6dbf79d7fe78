// Command standin plays the platform, the instances and the clients of one case on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

func main() {
	scenario := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/foxtailhook", "the daemon")
	dir := flag.String("dir", ".", "where record.txt is written")
	keep := flag.Bool("keep", false, "keep the daemons' logs")
	flag.Parse()
	os.Exit(play(*scenario, *program, *dir, *keep))
}

func play(name, program, dir string, keep bool) int {
	rec, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	c, ok := cases[name]
	if program, err = filepath.Abs(program); err != nil || !ok {
		fmt.Fprintln(os.Stderr, "no such case or program:", name, err)
		return exitUnable
	}
	f, err := newFleet(rec, program, c.services)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer f.end(keep)
	go f.endEarly()
	if keep {
		fmt.Println("logs:", f.dir)
	}
	if os.Getenv("TROUBLE") == "0" {
		rec.addf("without the disruption")
	}
	code, err := c.play(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.addf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	rec.addf("exit code %d", code)
	return code
}

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// endEarly ends the case when it takes too long or is told to end.
func (f *fleet) endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-told:
	case <-time.After(maxTime):
	}
	f.rec.addf("ended early")
	f.end(false)
	os.Exit(exitUnable)
}

// scene is one case.
type scene struct {
	services []string
	play     func(f *fleet, trouble bool) (int, error)
}

var cases = map[string]scene{
	"freeze":  {[]string{"fwdepot", "fwdepot", "lockerd", "lockerd", "lockerd", "lockerd", "lockerd", "lockerd", "lockerd", "lockerd"}, playFreeze},
	"readers": {[]string{"fwdepot", "fwdepot", "lockerd", "lockerd"}, playReaders},
	"uploads": {[]string{"campaigns", "campaigns", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch", "dispatch"}, playUploads},
}

func route(prefix, kind, service, timeout string) map[string]any {
	return map[string]any{
		"host": "shop.example", "prefix": prefix, "route-type": kind, "timeout": timeout, "target-latency": "2000ms", "priority": 1, "service": service,
		"attempts": 2, "public": false,
	}
}

func services(names ...string) map[string]any {
	all := map[string]any{}
	for _, name := range names {
		all[name] = map[string]any{"health-check": "/health", "max-connections": 436, "protocol": "h1", "tls": false}
	}
	return all
}

const key = "8pjbvk9m68k7b2ex5wa5"

func tenants() map[string]any {
	return map[string]any{"tenant1": map[string]any{"api-keys": []string{key}, "priority": 1, "rate-per-s": 10000, "burst": 10000}}
}
