package admission

import (
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/decide/limit"
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Gate is the aggregate of one upstream's limit and queue.
//
// It is for an upstream whose callers ask for more than it can run, for longer
// than a burst. Without it, work waits until its callers have gone, the
// upstream then runs it for nobody, and the callers' repeats keep it so after
// the cause is gone.
type Gate struct {
	mu      sync.Mutex
	limit   limit.Learner
	queue   queue.Queue[*Ticket]
	running int
	held    latencies
	back    *comeback.Schedule

	longestWait time.Duration
	length      int
	counts      Counts
}

// Counts are totals since the start, for metrics.
type Counts struct {
	Ran     uint64
	Waited  uint64
	Refused uint64
	Evicted uint64
	Expired uint64
	Shed    uint64
}

// Option sets one property of a gate.
type Option func(*Gate)

const (
	// DefaultWait bounds the queue in time: a longer wait helps nobody while another instance may have room.
	DefaultWait = 250 * time.Millisecond
	// DefaultLength bounds the queue's memory where waits are short.
	DefaultLength = 1024
)

// WithQueue sets the order of service, a fair queue by default.
func WithQueue(q queue.Queue[*Ticket]) Option { return func(g *Gate) { g.queue = q } }

// WithWait sets the longest wait.
func WithWait(d time.Duration) Option { return func(g *Gate) { g.longestWait = d } }

// WithLength sets how many requests may wait.
func WithLength(n int) Option { return func(g *Gate) { g.length = n } }

// WithRand sets the source of jitter, numbers from 0 to 1.
func WithRand(f func() float64) Option {
	return func(g *Gate) { g.back = comeback.New(comeback.WithRand(f)) }
}

// New returns a gate with the limit.
func New(l limit.Learner, opts ...Option) *Gate {
	g := &Gate{
		limit:       l,
		held:        latencies{operations: map[string]*holding{}},
		back:        comeback.New(),
		longestWait: DefaultWait,
		length:      DefaultLength,
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.queue == nil {
		g.queue = queue.NewFair[*Ticket]()
	}
	return g
}

// Arrive decides on a new request: run now, wait, or a refusal that is final here.
func (g *Gate) Arrive(now time.Time, t *Ticket) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	expected := g.held.expect(t.Operation, now)
	if now.Add(expected).After(t.Deadline) || !now.Before(t.Deadline) {
		return g.refuse(now, call.DeadlineTooNear)
	}
	if g.running < g.limit.Limit() && g.queue.Len() == 0 {
		g.begin(now, t)
		return Decision{Verdict: Run}
	}
	return g.enqueue(now, t, expected)
}

// enqueue lets the request wait if it is likely to start in time. The first in
// an empty queue always may: the estimate could be wrong, and a gate that
// trusted it alone might refuse everything.
func (g *Gate) enqueue(now time.Time, t *Ticket, expected time.Duration) Decision {
	t.startBy = earlier(t.Deadline.Add(-expected), now.Add(g.patience(t)))
	t.item = queue.Item[*Ticket]{
		Value: t, Organisation: t.Organisation, Weight: t.Weight, Priority: t.Priority, Cost: g.held.cost(t.Operation),
	}
	wait := time.Duration(g.queue.Ahead(&t.item)) * g.interval()
	if g.queue.Len() > 0 && now.Add(wait).After(t.startBy) {
		return g.refuse(now, call.Overloaded)
	}
	if g.queue.Len() >= g.length && !g.evict(now, g.queue.Victim(&t.item)) {
		return g.refuse(now, call.Overloaded)
	}
	g.queue.Push(&t.item)
	g.counts.Waited++
	g.evictHopeless(now, t)
	return Decision{Verdict: Wait}
}

// patience is how long the ticket may wait.
func (g *Gate) patience(t *Ticket) time.Duration {
	if t.Patience > 0 {
		return t.Patience
	}
	return g.longestWait
}

// evict gives a waiting request its final answer; false if there is none to give it to.
func (g *Gate) evict(now time.Time, victim *queue.Item[*Ticket]) bool {
	if victim == nil {
		return false
	}
	g.queue.Remove(victim)
	g.counts.Evicted++
	victim.Value.Waiter.Decide(g.refuse(now, call.Overloaded))
	return true
}

// evictHopeless refuses the last of the waiting requests once what came before
// it takes longer than it may wait: it would only be held back until its time is up.
func (g *Gate) evictHopeless(now time.Time, arrival *Ticket) {
	last := g.queue.Last()
	if last == nil || last.Priority >= arrival.Priority {
		return
	}
	wait := time.Duration(g.queue.Len()-1) * g.interval()
	if now.Add(wait).After(last.Value.startBy) {
		g.evict(now, last)
	}
}

// Leave ends the wait of a ticket whose time is up or whose caller has gone;
// false means that its Waiter has been told already.
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

// Settle ends a run, learns from it and starts what waits.
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
		g.held.learn(t.Operation, now.Sub(t.begun), now)
	}
	g.limit.Learn(now, limit.Sample{Operation: t.Operation, Latency: r.Own, InFlight: t.inFlight, Shed: r.Shed})
}

// startWaiting fills the free slots. A ticket that can't finish any more is
// refused here rather than run, in case its timer is late.
func (g *Gate) startWaiting(now time.Time) {
	for g.running < g.limit.Limit() {
		i := g.queue.Pop()
		if i == nil {
			return
		}
		t := i.Value
		if now.After(t.startBy) {
			g.counts.Expired++
			t.Waiter.Decide(g.refuse(now, call.Overloaded))
			continue
		}
		g.begin(now, t)
		t.Waiter.Decide(Decision{Verdict: Run})
	}
}

func (g *Gate) begin(now time.Time, t *Ticket) {
	g.running++
	g.counts.Ran++
	t.begun = now
	t.inFlight = g.running
}

func (g *Gate) refuse(now time.Time, reason call.Reason) Decision {
	g.counts.Refused++
	interval := g.interval()
	room := time.Duration(g.queue.Len()+1) * interval
	return Decision{Verdict: Refuse, Reason: reason, RetryAfter: g.back.Next(now, room, interval)}
}

// interval is the time between two starts while all slots are busy.
func (g *Gate) interval() time.Duration {
	return time.Duration(g.held.mean / float64(g.limit.Limit()) * float64(time.Second))
}

// Load returns what the gate tells others with each answer.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: g.running, Queued: g.queue.Len(), Limit: g.limit.Limit()}
}

// Fullness returns the part of the slots that is in use, and above 1 how long a request waits in units of the time given.
//
// The number of those that wait says little: ten that take 15 ms are through 20 slots before anyone notices, ten uploads are not.
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
