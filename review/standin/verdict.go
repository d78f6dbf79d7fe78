package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// lost is a request of a kept connection that an instance ran and whose connection ended without an answer.
type lost struct {
	id, machine string
	at          time.Time
}

// bystanders are clients with kept connections that send small requests, one after the other.
type bystanders struct {
	f    *fleet
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	sent    int
	whole   int
	refused int
	failed  int
	unlucky []lost
}

func startBystanders(f *fleet, on []*machine, perMachine int, target string) *bystanders {
	b := &bystanders{f: f, stop: make(chan struct{})}
	for _, m := range on {
		for range perMachine {
			b.done.Go(func() { b.run(m, target) })
		}
	}
	return b
}

func (b *bystanders) run(m *machine, target string) {
	var c *connection
	used := 0
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(30)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(m); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			used = 0
		}
		a := &attempt{id: newID(), method: http.MethodPost, target: target, host: "shop.example", key: key, deadline: 4 * time.Second}
		res := c.send(a)
		b.record(m, a, &res, used > 0)
		used++
		if res.err != nil || res.closes {
			_ = c.Close()
			c = nil
		}
	}
}

func (b *bystanders) record(m *machine, a *attempt, res *result, kept bool) {
	ran := len(b.f.runsOf(a.id)) > 0
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	switch {
	case res.whole(a.id):
		b.whole++
	case res.err == nil && res.status == http.StatusServiceUnavailable:
		b.refused++
	case res.err == nil || isTimeout(res.err):
		b.failed++
	default:
		b.failed++
		if kept && ran && res.sent {
			b.unlucky = append(b.unlucky, lost{a.id, m.name, time.Now()})
		}
	}
	b.f.rec.addf("client at %s: %s %s kept=%t ran=%t: status %d, error %v, after %d ms", m.name, a.id, a.target, kept, ran, res.status, res.err, res.took.Milliseconds())
}

func (b *bystanders) end() {
	close(b.stop)
	b.done.Wait()
}

const (
	// maxLost is how many requests of one machine the rule LOST allows to end without an answer, and endsOfFault and minFaultMachines what the rule Fault counts.
	maxLost          = 3
	endsOfFault      = 3
	minFaultMachines = 2
)

// mostLost returns how many requests the machine lost that lost most: the rule speaks of what one machine does.
func (b *bystanders) mostLost() int {
	most, byMachine := 0, map[string]int{}
	for _, l := range b.unlucky {
		byMachine[l.machine]++
		most = max(most, byMachine[l.machine])
	}
	return most
}

// verdict writes what was seen, and returns the exit code: broken if LOST or Fault was.
func (b *bystanders) verdict() int {
	f := b.f
	faulty := 0
	for _, m := range f.machines {
		m.mu.Lock()
		f.rec.addf("%s (%s): at most %d MB of %d MB, %d ends for memory, %d starts", m.name, m.service, m.maxRSS>>20, f.memoryMB, m.overMemory, m.starts)
		if m.overMemory >= endsOfFault {
			faulty++
		}
		m.mu.Unlock()
	}
	worst := b.mostLost()
	fault := faulty >= minFaultMachines && 10*faulty >= len(f.machines)
	summary := fmt.Sprintf("small requests: %d sent, %d whole, %d refused, %d failed; LOST: %d from kept connections, run and without an answer, at most %d of them at one machine (%d allowed); Fault: %d machines whose process ended 3 times",
		b.sent, b.whole, b.refused, b.failed, len(b.unlucky), worst, maxLost, faulty)
	f.rec.addf("%s", summary)
	fmt.Println(summary)
	switch {
	case worst > maxLost || fault:
		return exitBroken
	case b.whole == 0:
		return exitUnable
	default:
		return exitHeld
	}
}
