package quota

import (
	"math"
	"sync"
	"time"
)

// Rate is what an organisation may send over the whole fleet; a rate of 0 has no limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Quota decides on one daemon which requests are within their organisation's rate.
//
// It is for an organisation that sends several times its rate over many
// daemons, while the others stay within theirs. No daemon sees more than a part
// of it, and none may wait for another's word before each request. Daemons tell
// each other a few times a second how much each organisation asks for; while that is below
// the rate in all, everybody is let in, and beyond it each daemon lets in its part of the rate, by the part
// of the demand that it sees. A daemon that hears nothing takes an equal part.
type Quota struct {
	mu      sync.Mutex
	rates   map[string]Rate
	daemons int
	meters  map[string]*meter
	totals  map[string]float64
	heard   time.Time
	// begun is when the daemon first knew rates: tokens add up from then on.
	begun time.Time
	// part is the part of the fleet that the totals speak for.
	part float64
}

// meter is what one daemon knows of one organisation.
type meter struct {
	rate   Rate
	demand float64
	at     time.Time
	// told is the demand that the total in use was made with.
	told   float64
	tokens float64
	filled time.Time
}

const (
	// mostHear is the part of the daemons from which on their word stands for all: a few restart or are lost at any time.
	mostHear = 0.8
	// demandTime smooths the demand: long against the gaps between the requests of a small
	// organisation, short against the window of seconds in which a rate is looked at.
	demandTime = time.Second
	// staleAfter is how long a total counts; several times the gap between two.
	staleAfter = 2 * time.Second
	// jump is how far above what was told the demand must be, in requests a second, to speak of a change: two requests
	// close to each other look like one or two.
	jump = 2.0
	// least is the fewest tokens that a daemon can save up. With less than one it would
	// never let a request in; one for each daemon is within a burst but for the smallest rates.
	least = 1.0
)

// New returns a quota that knows no rates yet and lets everyone in.
func New() *Quota {
	return &Quota{daemons: 1, rates: map[string]Rate{}, meters: map[string]*meter{}}
}

// Configure puts rates in force.
func (q *Quota) Configure(rates map[string]Rate, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.begun.IsZero() {
		q.begun = now
	}
	q.rates = rates
	for name, m := range q.meters {
		if m.rate != rates[name] {
			delete(q.meters, name)
		}
	}
}

// Share tells how many daemons there are.
func (q *Quota) Share(daemons int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.daemons = max(daemons, 1)
}

// Hear takes in the demand for each organisation that so many daemons have told of, and this daemon's part of it as it was told.
//
// While the fleet is cut in two, each side hears of its own demand only. Were each to take it for all, both together
// would let in twice the rate; so a side spends the part of the rate that it has of the daemons.
func (q *Quota) Hear(totals, told map[string]float64, daemons int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.totals, q.heard, q.part = totals, now, 1
	if part := float64(daemons) / float64(q.daemons); part < mostHear {
		q.part = part
	}
	for name, m := range q.meters {
		m.told = told[name]
	}
}

// Demand returns what each organisation asks for on this daemon, in requests a second.
func (q *Quota) Demand(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[string]float64, len(q.meters))
	for name, m := range q.meters {
		if d := m.now(now); d > negligible {
			all[name] = d
		}
	}
	return all
}

// The demand is smoothed over a second only, so that of an organisation near its rate looks higher now and
// then. These let such moments pass: a tenth of the rate and one request a second, less than
// half of what the fleet's bound leaves above the rate.
const (
	margin         = 0.1
	marginRequests = 1.0
)

// negligible is a demand that is not worth telling, in requests a second.
const negligible = 0.02

// Verdict is whether a request is within its organisation's rate, and the inputs that decided it.
type Verdict struct {
	Admitted bool
	// Spent tells that the request took a token; others are let in beyond the tokens while the fleet's demand is below the rate.
	Spent bool
	// RetryAfter is when the rate has room again.
	RetryAfter time.Duration
	// Demand is what the fleet is thought to be asked for, in requests a second.
	Demand float64
	Rate   float64
	// Age is how old the word of the others is; negative means that there is none.
	Age time.Duration
}

// Admit counts a request of the organisation and decides on it.
func (q *Quota) Admit(name string, now time.Time) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.rates[name]
	if r.PerSecond <= 0 {
		return Verdict{Admitted: true}
	}
	m := q.meter(name, r, now)
	m.count(now)
	total, share, age := q.estimate(name, m, now)
	m.fill(share, now)
	v := Verdict{Demand: total, Rate: r.PerSecond, Age: age}
	switch {
	case m.tokens >= 1:
		m.tokens--
		v.Admitted, v.Spent = true, true
	case age >= 0 && total <= q.part*r.PerSecond*(1+margin)+marginRequests:
		v.Admitted = true
	default:
		v.RetryAfter = m.refill(share)
	}
	return v
}

// GiveBack returns what a request has spent that did not run after all. One that was let in without a token returns none: the
// organisation would save up more than it was ever refused.
func (q *Quota) GiveBack(name string, v Verdict, now time.Time) {
	if !v.Spent {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if m := q.meters[name]; m != nil {
		_, share, _ := q.estimate(name, m, now)
		m.tokens = min(m.tokens+1, m.most(share))
	}
}

func (q *Quota) meter(name string, r Rate, now time.Time) *meter {
	m := q.meters[name]
	if m == nil {
		// A daemon that starts has no tokens: those that all daemons of a fleet held
		// before they were killed at once must not count twice.
		m = &meter{rate: r, at: now, filled: q.begun}
		q.meters[name] = m
	}
	return m
}

// estimate returns the fleet's demand and this daemon's part of it.
//
// Right after an organisation begins to send more, the word of the others is
// from before. Its traffic grows on all daemons alike, so what has grown here stands for them all.
func (q *Quota) estimate(name string, m *meter, now time.Time) (total, share float64, age time.Duration) {
	own := m.now(now)
	equal := 1 / float64(q.daemons)
	age = now.Sub(q.heard)
	if q.heard.IsZero() || age > staleAfter {
		return own * float64(q.daemons), equal, -1
	}
	total = max(q.totals[name], own)
	if grown := own - m.told - jump; grown > 0 {
		total += grown * float64(q.daemons)
	}
	return total, q.part*ownPart*own/max(total, own) + (1-ownPart)*equal, age
}

// ownPart is how much of a rate is shared by demand; the rest is shared equally, so that a daemon to which
// an organisation's clients move at once has something for them before others hear of it.
const ownPart = 0.9

// now returns the demand as it has faded since the last request.
func (m *meter) now(now time.Time) float64 {
	return m.demand * math.Exp(-now.Sub(m.at).Seconds()/demandTime.Seconds())
}

func (m *meter) count(now time.Time) {
	m.demand = m.now(now) + 1/demandTime.Seconds()
	m.at = now
}

func (m *meter) most(share float64) float64 { return max(m.rate.Burst*share, least) }

func (m *meter) fill(share float64, now time.Time) {
	m.tokens = min(m.tokens+now.Sub(m.filled).Seconds()*m.rate.PerSecond*share, m.most(share))
	m.filled = now
}

// refill is the time until there is a whole token.
func (m *meter) refill(share float64) time.Duration {
	seconds := (1 - m.tokens) / (m.rate.PerSecond * share)
	return time.Duration(min(max(seconds, 0), longestWait.Seconds()) * float64(time.Second))
}

// longestWait bounds the time after which a refused client is told to come back.
const longestWait = 10 * time.Second
