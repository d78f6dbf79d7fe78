package mesh

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/fleet/multicast"
)

const (
	// fatalWork is how long an instance works on a request that makes it crash, and fatalDownTime how long it is down then.
	fatalWork     = 30 * time.Millisecond
	fatalDownTime = time.Second
)

// crashState is what a host's daemon knows of crashes, and which requests wait since another one with their content runs alone.
type crashState struct {
	quarantine *quarantine.Table
	locks      quarantine.Locks
	waiting    map[quarantine.Fingerprint][]*execution
}

func newCrashState() crashState {
	// The same salt in all daemons makes runs with the same seed alike.
	return crashState{quarantine: quarantine.NewTable(quarantine.WithSalt(quarantine.Salt{1})), waiting: map[quarantine.Fingerprint][]*execution{}}
}

// contentOf returns the content of the next caller's request on the route: always the same if it is fatal, and otherwise another one each time.
func (f *fleet) contentOf(r *Route) string {
	if r.Fatal {
		return "fatal"
	}
	f.contents++
	return fmt.Sprint(f.contents)
}

// subcallContent returns the content of the execution's next sub-call: a repeat of its request makes sub-calls with the same contents.
func (e *execution) subcallContent(r *Route) string {
	if r.Fatal {
		return e.host.fleet.contentOf(r)
	}
	return fmt.Sprintf("%s/%d", e.request.content, len(e.subcalls))
}

// quarantineContent returns what makes the request the same as others for the instance.
func (req *request) quarantineContent() *quarantine.Content {
	return &quarantine.Content{Organisation: req.organisation, Route: req.route.Name, Target: req.content}
}

// screen reports whether the content of the execution's request may run now; otherwise it has ended or waits.
func (e *execution) screen() bool {
	h, req := e.host, e.request
	if h.fleet.without(mechanism.Quarantine) {
		return true
	}
	verdict := h.quarantine.Check(req.quarantineContent(), h.fleet.now())
	switch {
	case verdict.Refused:
		e.end(answer{outcome: notRun, result: choice.Withdrawn, retryAfter: verdict.RetryAfter, final: true})
		return false
	case !verdict.Exclusive || e.locked != 0:
		return true
	case req.suspect == 0:
		e.end(answer{outcome: notRun, result: choice.Withdrawn, suspect: verdict.Fingerprint})
		return false
	}
	if _, ok := h.locks.TryLock(verdict.Fingerprint); !ok {
		h.waiting[verdict.Fingerprint] = append(h.waiting[verdict.Fingerprint], e)
		return false
	}
	e.locked = verdict.Fingerprint
	return true
}

// unlock lets the requests go on that wait for the end of this one.
func (e *execution) unlock() {
	if e.locked == 0 {
		return
	}
	h, f := e.host, e.locked
	h.locks.Unlock(f)
	waiting := h.waiting[f]
	delete(h.waiting, f)
	for _, other := range waiting {
		h.fleet.clock.After(0, other.arrive)
	}
}

// crashFatally makes the instance crash under the execution.
func (e *execution) crashFatally() {
	if e.ended || e.host.fleet.now().Before(e.host.downUntil) {
		return
	}
	f := e.host.fleet
	f.result.Crashes[e.host.instance.Service]++
	f.result.FatalUnderWay = append(f.result.FatalUnderWay, f.fatalAtWork()-1)
	e.host.crash(fatalDownTime)
}

// fatalAtWork returns how many requests are at work that make their instance crash.
func (f *fleet) fatalAtWork() int {
	count := 0
	for _, h := range f.hosts {
		for e := range h.active {
			if e.request.route.Fatal {
				count++
			}
		}
	}
	return count
}

// reportCrash tells all daemons of the service which contents were at work, and then calls then.
func (h *host) reportCrash(atWork []*execution, then func()) {
	f := h.fleet
	salt := h.quarantine.Salt()
	f.crashes++
	crash := quarantine.Crash{ID: quarantine.CrashID(f.crashes), Salt: salt, Suspects: map[string][]quarantine.Fingerprint{}}
	for _, e := range atWork {
		route := e.request.route.Name
		crash.Suspects[route] = append(crash.Suspects[route], e.request.quarantineContent().Fingerprint(salt))
	}
	f.clock.After(time.Duration(hops(h.serviceSize-1))*2*hostDelay, func() {
		for i := range f.instances[h.instance.Service] {
			f.byID[f.instances[h.instance.Service][i].ID].quarantine.Report(crash, f.now())
		}
		then()
	})
}

// hops returns how many hops a report takes to so many daemons.
func hops(daemons int) int {
	reached, hops := 0, 0
	for last := multicast.FanOut; reached < daemons; last *= multicast.FanOut {
		reached += last
		hops++
	}
	return hops
}
