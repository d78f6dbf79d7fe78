package admission

import (
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Gate is the concurrency limit and the queue of one upstream.
//
// Designed for an upstream whose offered load exceeds its capacity for longer than a burst. Without a gate, requests queue until their
// callers have given up, the upstream runs requests that nobody waits for, and the callers' retries keep it overloaded after
// the cause has passed.
type Gate struct {
	mu         sync.Mutex
	limit      limit.Learner
	queue      queue.Queue[*Ticket]
	running    int
	holdTimes  holdTimes
	retryAfter *comeback.Schedule

	maxWait   time.Duration
	maxLength int
	counts    Counts
}

// Counts are totals since the start, for metrics. Refused includes Evicted and Expired, and Ran includes Shed.
type Counts struct {
	Ran     uint64
	Waited  uint64
	Refused uint64
	Evicted uint64
	Expired uint64
	Shed    uint64
}

// Option configures a gate.
type Option func(*Gate)

const (
	// DefaultWait bounds the wait in the queue: a longer wait is of no use while another instance may have free slots.
	DefaultWait = 250 * time.Millisecond
	// DefaultLength bounds the queue's memory where waits are short.
	DefaultLength = 1024
)

// WithQueue sets the order in which requests are served, a fair queue by default.
func WithQueue(order queue.Queue[*Ticket]) Option { return func(g *Gate) { g.queue = order } }

// WithWait sets the maximum wait of requests whose ticket sets none.
func WithWait(wait time.Duration) Option { return func(g *Gate) { g.maxWait = wait } }

// WithLength sets the maximum number of waiting requests.
func WithLength(requests int) Option { return func(g *Gate) { g.maxLength = requests } }

// WithRand sets the random source of the Retry-After jitter, which returns numbers in [0, 1).
func WithRand(random func() float64) Option {
	return func(g *Gate) { g.retryAfter = comeback.New(comeback.WithRand(random)) }
}

// New returns a gate with the concurrency limit of the learner.
func New(learner limit.Learner, opts ...Option) *Gate {
	g := &Gate{
		limit:      learner,
		holdTimes:  holdTimes{byOperation: map[string]*holdTime{}},
		retryAfter: comeback.New(),
		maxWait:    DefaultWait,
		maxLength:  DefaultLength,
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.queue == nil {
		g.queue = queue.NewFair[*Ticket]()
	}
	return g
}

// Arrive decides on a new request: it runs now, waits or is refused.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	expected := g.holdTimes.estimate(t.Operation, now)
	if now.Add(expected).After(t.Deadline) || !now.Before(t.Deadline) {
		return g.refuse(now, call.DeadlineTooNear)
	}
	if g.running < g.limit.Limit() && g.queue.Len() == 0 {
		g.start(now, t)
		return Decision{Verdict: Run}
	}
	return g.enqueue(now, t, expected)
}

// enqueue lets the request wait if it is likely to start in time. The first request in an empty queue may always wait: the estimate
// can be wrong, and a gate that relied on it alone might refuse everything.
func (g *Gate) enqueue(now time.Time, t *Ticket, expected time.Duration) Decision {
	t.startBy = earlier(t.Deadline.Add(-expected), now.Add(g.maxWaitOf(t)))
	t.item = queue.Item[*Ticket]{
		Value: t, Organisation: t.Organisation, Weight: t.Weight, Priority: t.Priority, Cost: g.holdTimes.relativeCost(t.Operation),
	}
	wait := time.Duration(g.queue.Ahead(&t.item)) * g.interval()
	if g.queue.Len() > 0 && now.Add(wait).After(t.startBy) {
		return g.refuse(now, call.Overloaded)
	}
	if g.queue.Len() >= g.maxLength && !g.evict(now, g.queue.Victim(&t.item)) {
		return g.refuse(now, call.Overloaded)
	}
	g.queue.Push(&t.item)
	g.counts.Waited++
	g.evictLastIfLate(now, t)
	return Decision{Verdict: Wait}
}

// maxWaitOf returns how long the ticket may wait.
func (g *Gate) maxWaitOf(t *Ticket) time.Duration {
	if t.Patience > 0 {
		return t.Patience
	}
	return g.maxWait
}

// evict refuses a waiting request; it returns false if there is no victim.
func (g *Gate) evict(now time.Time, victim *queue.Item[*Ticket]) bool {
	if victim == nil {
		return false
	}
	g.queue.Remove(victim)
	g.counts.Evicted++
	victim.Value.Waiter.Decide(g.refuse(now, call.Overloaded))
	return true
}

// evictLastIfLate refuses the waiting request that is served last if it has a lower priority than the arrival and those before it
// take longer than it may wait: otherwise it would be refused only at the end of its wait.
func (g *Gate) evictLastIfLate(now time.Time, arrival *Ticket) {
	last := g.queue.Last()
	if last == nil || last.Priority >= arrival.Priority {
		return
	}
	wait := time.Duration(g.queue.Len()-1) * g.interval()
	if now.Add(wait).After(last.Value.startBy) {
		g.evict(now, last)
	}
}

// Leave ends the wait of a ticket that has expired or whose caller has given up; it returns false if its Waiter already has the
// decision.
func (g *Gate) Leave(now time.Time, t *Ticket) (Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.item.Queued() {
		return Decision{}, false
	}
	g.queue.Remove(&t.item)
	g.counts.Expired++
	return g.refuse(now, call.Overloaded), true
}

// Settle ends a run, learns from it and starts waiting requests.
func (g *Gate) Settle(now time.Time, t *Ticket, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if !r.Withdrawn {
		g.learn(now, t, r)
	}
	g.startWaiting(now)
}

func (g *Gate) learn(now time.Time, t *Ticket, r Result) {
	if r.Shed {
		g.counts.Shed++
	} else {
		g.holdTimes.record(t.Operation, now.Sub(t.startedAt), now)
	}
	g.limit.Learn(now, limit.Sample{Operation: t.Operation, Latency: r.Own, InFlight: t.inFlight, Shed: r.Shed})
}

// startWaiting fills the free slots. A ticket that can no longer finish in time is refused rather than run, in case its timer is late.
func (g *Gate) startWaiting(now time.Time) {
	for g.running < g.limit.Limit() {
		item := g.queue.Pop()
		if item == nil {
			return
		}
		t := item.Value
		if now.After(t.startBy) {
			g.counts.Expired++
			t.Waiter.Decide(g.refuse(now, call.Overloaded))
			continue
		}
		g.start(now, t)
		t.Waiter.Decide(Decision{Verdict: Run})
	}
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.running++
	g.counts.Ran++
	t.startedAt = now
	t.inFlight = g.running
}

func (g *Gate) refuse(now time.Time, reason call.Reason) Decision {
	g.counts.Refused++
	interval := g.interval()
	queueTime := time.Duration(g.queue.Len()+1) * interval
	return Decision{Verdict: Refuse, Reason: reason, RetryAfter: g.retryAfter.Next(now, queueTime, interval)}
}

// interval is the expected time between two starts while all slots are in use.
func (g *Gate) interval() time.Duration {
	return time.Duration(g.holdTimes.meanSeconds / float64(g.limit.Limit()) * float64(time.Second))
}

// Load returns the load that a host reports with each response.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: g.running, Queued: g.queue.Len(), Limit: g.limit.Limit()}
}

// Fullness returns the saturation: the fraction of the slots in use, plus the expected wait in the queue in the given unit.
//
// The queue's length alone says little: ten requests of 15 ms pass through 20 slots unnoticed, ten uploads don't.
func (g *Gate) Fullness(unit time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := time.Duration(g.queue.Len()) * g.interval()
	return float64(g.running)/float64(g.limit.Limit()) + wait.Seconds()/unit.Seconds()
}

// Counts returns the totals since the start.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
