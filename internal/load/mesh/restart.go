package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
)

const (
	// coldSlowdown multiplies the work time of a cold instance.
	coldSlowdown = 2.0
	// A cold instance crashes at more than crashFactor times its rate plus crashSlack requests in one second.
	crashFactor = 1.5
	crashSlack  = 8
	// crashDownTime is how long an instance that has crashed is down.
	crashDownTime = 600 * time.Millisecond
	// resumeInterval is how often a paced gate looks whether another request may start.
	resumeInterval = 10 * time.Millisecond
)

// restartState is the state of a host whose instance restarts.
type restartState struct {
	// pacer paces the requests to the instance while the daemon counts it as cold.
	pacer *admission.Pacer
	// active are the executions on the instance.
	active map[*execution]bool
	// downUntil and daemonDownUntil are when the instance and the daemon have restarted, coldUntil is when the instance is warm.
	downUntil, coldUntil, daemonDownUntil time.Time
	// arrivals are the times of the requests in the last second that the instance is cold.
	arrivals []time.Time
}

// scheduleRestarts schedules the power losses and restarts among the faults.
func (f *fleet) scheduleRestarts() {
	for _, fault := range f.scenario.Faults {
		f.clock.After(fault.From, func() {
			if fault.PowerLoss {
				f.losePower(fault.Duration)
			}
			for _, h := range f.hosts {
				if h.instance.Service == fault.Service && float64(h.ordinal) < fault.RestartFraction*float64(h.serviceSize) {
					h.crash(fault.Duration)
				}
			}
		})
	}
}

// losePower ends all daemons and instances, and restarts them after the given time.
func (f *fleet) losePower(down time.Duration) {
	f.collector = collect.New(noopObserver{}, f.scenario.Without)
	for _, h := range f.hosts {
		// Without power there is no daemon that reports the crash.
		for _, e := range h.endInstance(down) {
			e.endLost()
		}
		h.daemonDownUntil = f.now().Add(down)
		h.startDaemon()
	}
}

// crash ends the instance and its executions, and restarts it, cold, after the given time.
func (h *host) crash(down time.Duration) {
	atWork := h.endInstance(down)
	end := func() {
		for _, e := range atWork {
			e.endLost()
		}
	}
	if h.fleet.without(mechanism.Quarantine) || len(atWork) == 0 {
		end()
		return
	}
	h.reportCrash(atWork, end)
}

// endLost ends the execution since its instance has crashed.
func (e *execution) endLost() {
	e.end(answer{outcome: failed, result: choice.Lost, delivered: true, responseLost: true})
}

// endInstance ends the instance, restarts it, cold, after the given time, and returns what was at work in the order of its beginning.
func (h *host) endInstance(down time.Duration) []*execution {
	now := h.fleet.now()
	h.downUntil, h.coldUntil, h.arrivals = now.Add(down), now.Add(down+h.service.ColdStart), nil
	inOrder := slices.SortedFunc(maps.Keys(h.active), func(a, b *execution) int { return a.sequence - b.sequence })
	h.fleet.clock.At(h.downUntil, func() {
		if h.service.ColdRate > 0 && !h.fleet.without(mechanism.ColdPacing) {
			h.pacer.Pace(h.service.ColdRate, h.coldUntil)
			h.resume()
		}
		h.publishCold()
	})
	return inOrder
}

// resume starts requests that wait at the gate until the pacing ends.
func (h *host) resume() {
	h.gate.Resume(h.fleet.now())
	if h.paced() {
		h.fleet.clock.After(resumeInterval, h.resume)
	}
}

// publicationDelay is how long after its start an instance is published as cold.
const publicationDelay = 1500 * time.Millisecond

// publishCold makes the start known to all daemons.
func (h *host) publishCold() {
	until := h.coldUntil
	h.fleet.clock.After(publicationDelay, func() {
		all := h.fleet.instances[h.instance.Service]
		all[h.ordinal].ColdUntil = until
	})
}

func (h *host) cold() bool { return h.fleet.now().Before(h.coldUntil) }

func (h *host) paced() bool { return h.pacer.Interval(h.fleet.now()) > 0 }

// receive counts a request that reaches the instance; it returns true if that makes the instance crash.
func (h *host) receive() bool {
	if h.service.ColdRate == 0 || !h.cold() {
		return false
	}
	now := h.fleet.now()
	h.arrivals = slices.DeleteFunc(append(h.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if float64(len(h.arrivals)) <= crashFactor*h.service.ColdRate+crashSlack {
		return false
	}
	h.fleet.result.Crashes[h.instance.Service]++
	h.crash(crashDownTime)
	return true
}

// instanceCount returns the number of instances of all services.
func (s *Scenario) instanceCount() int {
	count := 0
	for _, service := range s.Services {
		count += len(service.WorkFactors)
	}
	return count
}
