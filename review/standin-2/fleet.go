package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback addresses: a store, hosts with their daemons, and an instance on each host.
type fleet struct {
	record    *record
	dir       string
	subnet    string
	storeIP   string
	store     *store
	hosts     []*host
	instances []*instance
	memoryMB  int
	version   int
	routes    map[string]any
	services  map[string]any
	stop      chan struct{}
}

// newFleet finds free addresses and starts the store.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, dir: dir, memoryMB: 284, routes: map[string]any{}, services: map[string]any{}, stop: make(chan struct{})}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		f.storeIP = f.subnet + "250"
		if f.store, err = startStore(net.JoinHostPort(f.storeIP, strconv.Itoa(portStore))); err == nil {
			return f, nil
		}
	}
	return nil, errors.Join(errors.New("no free address"), err)
}

// add adds a host with its instance.
func (f *fleet) add(service, zone string, slots int) (*host, *instance, error) {
	n := len(f.hosts) + 1
	h := &host{name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: f.subnet + strconv.Itoa(n), zone: zone, service: service, grace: 6 * time.Second, fleet: f}
	i, err := startInstance(fmt.Sprintf("i-%08x", rand.Uint32()), service, h.at(portApp), slots, f.record)
	if err != nil {
		return nil, nil, err
	}
	f.hosts, f.instances = append(f.hosts, h), append(f.instances, i)
	f.services[service] = map[string]any{"health-check": "/health", "max-connections": 436, "protocol": "h1", "tls": false}
	return h, i, nil
}

// seeds are the control addresses of three machines at most.
func (f *fleet) seeds() []string {
	seeds := []string{}
	for _, h := range f.hosts[:min(len(f.hosts), 3)] {
		seeds = append(seeds, h.at(portInternal))
	}
	return seeds
}

// route adds a route of the host name recall.example.
func (f *fleet) route(name, prefix, kind, service string, timeout, target string) {
	f.routes[name] = map[string]any{
		"host": "recall.example", "prefix": prefix, "route-type": kind, "timeout": timeout, "target-latency": target, "priority": 1, "service": service,
		"attempts": 2, "public": false,
	}
}

// tenantKey is the key of the one tenant.
const tenantKey = "8pjbvk9m68k7b2ex5wa5"

// configure writes a new version of the configuration.
func (f *fleet) configure() {
	f.version += 3
	f.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": f.routes, "services": f.services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"tenants": map[string]any{"pulo780": map[string]any{"api-keys": []string{tenantKey}, "priority": 1, "rate-per-s": 1000, "burst": 1000}},
	})
	f.record.line("operator writes configuration %08x", f.version)
}

// begin registers the instances, starts all daemons and waits until they are ready.
func (f *fleet) begin() error {
	f.configure()
	for n, i := range f.instances {
		f.store.put("servers/"+i.id, i.entry(f.hosts[n].zone, "ready"))
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	go f.beat()
	return f.awaitReady(10 * time.Second)
}

// beat lets the instances write their entries each heartbeat.
func (f *fleet) beat() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
		for n, i := range f.instances {
			f.store.put("servers/"+i.id, i.entry(f.hosts[n].zone, "ready"))
		}
	}
}

func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && h.ready()
		}
		if all {
			f.record.line("all daemons are ready")
			// Daemons exchange heartbeats several times a second.
			time.Sleep(time.Second)
			return nil
		}
	}
	return errors.New("not all daemons are ready")
}

// end ends all daemons.
func (f *fleet) end() {
	close(f.stop)
	for _, h := range f.hosts {
		if h.running() {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// runsOf returns all runs of a request.
func (f *fleet) runsOf(id string) []run {
	var all []run
	for _, i := range f.instances {
		all = append(all, i.runsOf(id)...)
	}
	return all
}
