package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// semaphore is the naive gate: a fixed number of slots and a queue in order of
// arrival, which knows neither priorities nor organisations.
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

// recorder counts the decisions that a waiting ticket was told.
type recorder struct {
	told []Decision
}

// Decide implements Waiter.
func (r *recorder) Decide(d Decision) { r.told = append(r.told, d) }

type tracked struct {
	ticket   *Ticket
	recorder *recorder
	waited   bool
	running  bool
}

// check reports what is wrong with the gate after a step.
func check(g *Gate, all []*tracked) string {
	running := 0
	for _, t := range all {
		switch {
		case len(t.recorder.told) > 1:
			return "a ticket was told twice"
		case !t.waited && len(t.recorder.told) > 0:
			return "a ticket that did not wait was told"
		case len(t.recorder.told) == 1 && t.recorder.told[0].Verdict == Refuse && t.recorder.told[0].RetryAfter <= 0:
			return "a refusal without a time to come back"
		}
		if t.running {
			running++
		}
	}
	load := g.Load()
	switch {
	case running != load.InFlight:
		return fmt.Sprintf("%d are running, the gate says %d", running, load.InFlight)
	case running > load.Limit:
		return fmt.Sprintf("%d are running with a limit of %d", running, load.Limit)
	case load.Queued > 0 && running < load.Limit:
		return fmt.Sprintf("%d wait although %d of %d slots are taken", load.Queued, running, load.Limit)
	}
	return ""
}

// refresh takes over what the waiting tickets were told.
func refresh(all []*tracked) {
	for _, t := range all {
		if t.waited && len(t.recorder.told) == 1 && t.recorder.told[0].Verdict == Run {
			t.waited = false
			t.running = true
			t.recorder.told = nil
		}
	}
}

func TestGateAgainstSemaphore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		g := New(limit.NewFixed(slots), WithLength(rapid.IntRange(1, 20).Draw(t, "length")))
		naive := &semaphore{limit: slots}
		now := time.Unix(0, 0)
		var all []*tracked
		ran, turns := 0, rapid.IntRange(1, 200).Draw(t, "steps")
		for range turns {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			for _, each := range all {
				if each.ticket.item.Queued() && now.After(each.ticket.StartBy()) {
					if d, left := g.Leave(now, each.ticket); !left || d.RetryAfter <= 0 {
						t.Fatalf("leaving: %v %v", d, left)
					}
					each.waited = false
				}
			}
			if rapid.IntRange(0, 2).Draw(t, "do") > 0 {
				each := &tracked{recorder: &recorder{}}
				each.ticket = &Ticket{
					Organisation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "organisation")), Operation: "op", Weight: 1,
					Priority: call.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Deadline: now.Add(10 * time.Second), Waiter: each.recorder,
				}
				all = append(all, each)
				d := g.Arrive(now, each.ticket)
				each.running, each.waited = d.Verdict == Run, d.Verdict == Wait
				naive.arrive(now.Add(DefaultWait))
			} else if done := firstRunning(all); done != nil {
				done.running = false
				ran++
				g.Settle(now, done.ticket, Result{Own: time.Millisecond})
				naive.settle(now)
			}
			refresh(all)
			if fault := check(g, all); fault != "" {
				t.Fatal(fault)
			}
		}
		if ran > naive.ran {
			t.Fatalf("%d ran, more than the %d that a semaphore lets through", ran, naive.ran)
		}
	})
}

func firstRunning(all []*tracked) *tracked {
	for _, t := range all {
		if t.running {
			return t
		}
	}
	return nil
}
