package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine; every machine has a loopback address of its own.
const (
	inboundPort  = 8543
	outboundPort = 8548
	readyPort    = 8546
	appPort      = 8547
	peerPort     = 7000
	controlPort  = 8550
	metricsPort  = 9464
	storePort    = 8545
)

// recorder writes record.txt, one line an event.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(dir string) (*recorder, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *recorder
	program  string
	dir      string
	subnet   string
	store    *store
	machines []*machine
	memoryMB int64
	slots    int
	closers  []io.Closer
}

var errNoAddress = errors.New("no free loopback addresses")

// newFleet finds a loopback network whose addresses and ports are free.
func newFleet(rec *recorder, program string, services []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, program: program, dir: dir, store: newStore(), memoryMB: 284, slots: 36}
	for range 20 {
		f.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.isFree(len(services)) {
			break
		}
		f.subnet = ""
	}
	if f.subnet == "" {
		return nil, errNoAddress
	}
	if err := f.serve(f.subnet+"7:"+strconv.Itoa(storePort), f.store); err != nil {
		return nil, err
	}
	for n, service := range services {
		m := &machine{fleet: f, name: fmt.Sprintf("m%d", n+1), ip: f.subnet + strconv.Itoa(10+n), service: service}
		m.inst = newInstance(m, fmt.Sprintf("i-%04x", rand.IntN(1<<16)))
		if err := f.serve(m.address(appPort), m.inst); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func (f *fleet) isFree(machines int) bool {
	for n := range machines {
		for _, port := range []int{inboundPort, outboundPort, readyPort, appPort, peerPort, controlPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.subnet, 10+n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, server)
	return nil
}

// configure writes the configuration as the operator does.
func (f *fleet) configure(version int, routes, services, tenants map[string]any) {
	raw, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
	f.store.put("op/config", string(raw))
	f.rec.addf("operator: configuration %08x acknowledged", version)
}

// maxBodyBytes is the limit in the pages' example of a configuration.
const maxBodyBytes = 67108864

// begin publishes all instances, starts all daemons and waits until they are ready.
func (f *fleet) begin() error {
	for _, m := range f.machines {
		m.publish("ready", 1)
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s isn't ready", m.name)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// end kills all daemons and closes the stand-ins.
func (f *fleet) end(keepLogs bool) {
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopped = true
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	for _, c := range f.closers {
		_ = c.Close()
	}
	if !keepLogs {
		_ = os.RemoveAll(f.dir)
	}
}
