package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Callers retry aggressively: after a rejection or a timeout they retry within 100 ms, ignoring Retry-After unless
// honourRetryAfter is set, up to callerAttempts attempts in all.
const (
	callerAttempts = 5
	callerBackoff  = 50 * time.Millisecond
)

// caller sends the requests of one organisation.
type caller struct {
	fleet            *fleet
	organisation     int
	rate             float64
	tally            *tally
	honourRetryAfter bool
}

// start sends requests as a Poisson process until the given time.
func (c *caller) start(until time.Time) {
	f := c.fleet
	interval := time.Duration(f.random.ExpFloat64() / c.rate * float64(time.Second))
	f.clock.After(interval, func() {
		if f.clock.Now.After(until) {
			return
		}
		c.send(c.pickOperation(), f.clock.Now, callerAttempts)
		c.start(until)
	})
}

func (c *caller) pickOperation() *Operation {
	remaining := c.fleet.random.Float64()
	operations := c.fleet.deployment.Operations
	for i := range operations {
		if remaining -= operations[i].Share; remaining < 0 {
			return &operations[i]
		}
	}
	return &operations[len(operations)-1]
}

// send sends one request and retries it until it succeeds or no attempts are left.
func (c *caller) send(o *Operation, firstSent time.Time, attemptsLeft int) {
	f := c.fleet
	if attemptsLeft == callerAttempts {
		c.tally.countSent(c.organisation, o.Priority, firstSent)
	}
	r := request{operation: o, organisation: c.organisation, deadline: f.clock.Now.Add(o.Timeout), runs: new(int)}
	finished := false
	finish := func(ok bool, retryAfter time.Duration) {
		if finished {
			return
		}
		finished = true
		if ok {
			c.tally.countSucceeded(c.organisation, o.Priority, firstSent, f.clock.Now)
			return
		}
		if attemptsLeft > 1 {
			f.clock.After(c.retryDelay(retryAfter), func() { c.send(o, firstSent, attemptsLeft-1) })
		}
	}
	f.clock.After(o.Timeout, func() { finish(false, 0) })
	f.send(r, finish)
}

func (c *caller) retryDelay(retryAfter time.Duration) time.Duration {
	if c.honourRetryAfter && retryAfter > callerBackoff {
		return retryAfter
	}
	return callerBackoff + time.Duration(c.fleet.random.Int64N(int64(callerBackoff)))
}

// tally counts requests when they are first sent and successful responses when they arrive.
type tally struct {
	start             time.Time
	organisations     []counts
	interactive       []counts
	latencies         []time.Duration
	successesPerSlice []int
	from, to          time.Time
}

type counts struct{ sent, succeeded int }

const sliceLength = 50 * time.Millisecond

func (t *tally) measured(at time.Time) bool { return !at.Before(t.from) && at.Before(t.to) }

func (t *tally) countSent(organisation int, p call.Priority, at time.Time) {
	if t.measured(at) {
		t.organisations[organisation].sent++
		if p == call.Interactive {
			t.interactive[organisation].sent++
		}
	}
}

func (t *tally) countSucceeded(organisation int, p call.Priority, sent, now time.Time) {
	if t.measured(now) {
		t.organisations[organisation].succeeded++
		t.latencies = append(t.latencies, now.Sub(sent))
		if p == call.Interactive {
			t.interactive[organisation].succeeded++
		}
	}
	index := int(now.Sub(t.start) / sliceLength)
	for len(t.successesPerSlice) <= index {
		t.successesPerSlice = append(t.successesPerSlice, 0)
	}
	t.successesPerSlice[index]++
}

// rate returns the successful responses per second between two times since the start.
func (t *tally) rate(from, to time.Duration) float64 {
	sum := 0
	for i := int(from / sliceLength); i < int(to/sliceLength) && i < len(t.successesPerSlice); i++ {
		sum += t.successesPerSlice[i]
	}
	return float64(sum) / (to - from).Seconds()
}
