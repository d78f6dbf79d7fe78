package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// semaphore is the naive gate: a fixed number of slots and a first-come, first-served queue without priorities or organisations.
type semaphore struct {
	limit   int
	running int
	waiting []time.Time
	ran     int
}

func (s *semaphore) arrive(startBy time.Time) {
	s.waiting = append(s.waiting, startBy)
	s.fill(time.Time{})
}

func (s *semaphore) settle(now time.Time) {
	s.running--
	s.fill(now)
}

func (s *semaphore) fill(now time.Time) {
	for s.running < s.limit && len(s.waiting) > 0 {
		startBy := s.waiting[0]
		s.waiting = s.waiting[1:]
		if startBy.Before(now) {
			continue
		}
		s.running++
		s.ran++
	}
}

// recorder records the decisions that a waiting ticket received.
type recorder struct {
	decisions []Decision
}

// Decide implements Waiter.
func (r *recorder) Decide(d Decision) { r.decisions = append(r.decisions, d) }

// request is one ticket with its state as the test sees it.
type request struct {
	ticket   *Ticket
	recorder *recorder
	waited   bool
	running  bool
}

// invariantViolation returns the invariant that the gate breaks after a step, or an empty string.
func invariantViolation(g *Gate, all []*request) string {
	running := 0
	for _, t := range all {
		switch {
		case len(t.recorder.decisions) > 1:
			return "a ticket received two decisions"
		case !t.waited && len(t.recorder.decisions) > 0:
			return "a ticket that did not wait received a decision"
		case len(t.recorder.decisions) == 1 && t.recorder.decisions[0].Verdict == Refuse && t.recorder.decisions[0].RetryAfter <= 0:
			return "a refusal without a Retry-After delay"
		}
		if t.running {
			running++
		}
	}
	load := g.Load()
	switch {
	case running != load.InFlight:
		return fmt.Sprintf("%d are running, the gate reports %d", running, load.InFlight)
	case running > load.Limit:
		return fmt.Sprintf("%d are running with a limit of %d", running, load.Limit)
	case load.Queued > 0 && running < load.Limit:
		return fmt.Sprintf("%d wait although only %d of %d slots are in use", load.Queued, running, load.Limit)
	}
	return ""
}

// applyDecisions updates the waiting requests that were given a slot.
func applyDecisions(all []*request) {
	for _, t := range all {
		if t.waited && len(t.recorder.decisions) == 1 && t.recorder.decisions[0].Verdict == Run {
			t.waited = false
			t.running = true
			t.recorder.decisions = nil
		}
	}
}

func TestGateAgainstSemaphore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		g := New(limit.NewFixed(slots), WithLength(rapid.IntRange(1, 20).Draw(t, "length")))
		naive := &semaphore{limit: slots}
		now := time.Unix(0, 0)
		var all []*request
		ran, steps := 0, rapid.IntRange(1, 200).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			for _, r := range all {
				if r.ticket.item.Queued() && now.After(r.ticket.StartBy()) {
					if d, left := g.Leave(now, r.ticket); !left || d.RetryAfter <= 0 {
						t.Fatalf("leaving: %v %v", d, left)
					}
					r.waited = false
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "do") > 0 {
				r := &request{recorder: &recorder{}}
				r.ticket = &Ticket{
					Organisation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")), Operation: "op", Weight: 1,
					Priority: call.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Deadline: now.Add(10 * time.Second), Waiter: r.recorder,
				}
				all = append(all, r)
				d := g.Arrive(now, r.ticket)
				r.running, r.waited = d.Verdict == Run, d.Verdict == Wait
				naive.arrive(now.Add(DefaultWait))
			} else if done := firstRunning(all); done != nil {
				done.running = false
				ran++
				g.Settle(now, done.ticket, Result{Own: time.Millisecond})
				naive.settle(now)
			}
			applyDecisions(all)
			if violation := invariantViolation(g, all); violation != "" {
				t.Fatal(violation)
			}
		}
		if ran > naive.ran {
			t.Fatalf("%d ran, more than the %d that a semaphore admits", ran, naive.ran)
		}
	})
}

func firstRunning(all []*request) *request {
	for _, t := range all {
		if t.running {
			return t
		}
	}
	return nil
}
