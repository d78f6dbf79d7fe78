package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Quota decides on one daemon which requests are within their organisation's rate.
//
// It is for an organisation that sends several times its rate over many daemons, while the others stay within theirs. No daemon
// sees more than a part of it, and none may wait for another's word before each request. Each tells a collector a few times a
// second what it was asked for and let in, and lets in the part of the requests that the collector's bucket has room for. A
// daemon that hears nothing goes by the share that it had when it last heard.
type Quota struct {
	mu      sync.Mutex
	rand    func() float64
	rates   map[string]Rate
	daemons int
	meters  map[string]*meter
	words   map[string]Allocation
	heard   time.Time
}

// meter is what one daemon knows of one organisation.
type meter struct {
	count Count
	// told is how many requests were asked for as of the last word to the others, and usual how many come between two.
	told  int64
	usual float64
	// demand is what this daemon is asked for, smoothed, in requests a second.
	demand float64
	at     time.Time
	// credit is what the open part has added up to; a request is let in for each whole one.
	credit float64
	// share is this daemon's part of the fleet's demand, and tokens what it may let in by it while it hears nothing.
	share  float64
	tokens float64
	// spendAt is the part of a token from which on one is spent.
	spendAt float64
	filled  time.Time
}

const (
	// ownTime smooths a daemon's own demand, of which it sees a request now and then.
	ownTime = time.Second
	// staleAfter is how long a word counts; several times the gap between two.
	staleAfter = 2 * time.Second
	// countedFor is how long an organisation is named to the collector after its last request.
	countedFor = 3 * time.Second
	// ownPart is how much of a rate a daemon that hears nothing takes by its share of the demand; the rest is dealt out equally, for
	// callers who come from a daemon that is gone.
	ownPart = 0.9
	// aheadRequests and aheadTimes are what must come between two words, in requests and as a multiple of what was usual, for a
	// daemon not to wait for its next one.
	aheadRequests = 4
	aheadTimes    = 3
	// usualWeight is the weight of the time since the last word in what is usual.
	usualWeight = 0.3
	// longestWait bounds the time after which a refused client is told to come back.
	longestWait = 10 * time.Second
)

// Option sets one property of a quota.
type Option func(*Quota)

// WithRand sets the source of chance, numbers from 0 to 1.
func WithRand(f func() float64) Option { return func(q *Quota) { q.rand = f } }

// New returns a quota that knows no rates yet and lets everyone in.
func New(opts ...Option) *Quota {
	q := &Quota{rand: rand.Float64, daemons: 1, rates: map[string]Rate{}, meters: map[string]*meter{}}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Configure puts rates in force.
func (q *Quota) Configure(rates map[string]Rate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rates = rates
	for name := range q.meters {
		if rates[name].PerSecond <= 0 {
			delete(q.meters, name)
		}
	}
}

// SetDaemons tells how many daemons there are.
func (q *Quota) SetDaemons(daemons int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.daemons = max(daemons, 1)
}

// Apply takes in the collector's words.
func (q *Quota) Apply(words map[string]Allocation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.words, q.heard = words, now
	for name, m := range q.meters {
		if w, named := words[name]; named {
			own := m.own(now)
			m.share = own / max(w.Demand, own, leastDemand)
		}
		m.tokens, m.filled = 0, now
	}
}

// Report returns the counts of the organisations that have sent something lately, for the collector.
func (q *Quota) Report(now time.Time) map[string]Count {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[string]Count, len(q.meters))
	for name, m := range q.meters {
		if now.Sub(m.at) < countedFor {
			all[name] = m.count
		}
		m.usual += (float64(m.count.Requested-m.told) - m.usual) * usualWeight
		m.told = m.count.Requested
	}
	return all
}

// Decision is whether a request is within its organisation's rate, and the inputs that decided it.
type Decision struct {
	Admitted bool
	// Counted means that the request was counted as let in, so that Refund takes it back.
	Counted bool
	// Surge means that far more has come since the last word than was usual: the others should hear of it now.
	Surge bool
	// RetryAfter is when the rate has room again.
	RetryAfter time.Duration
	// AdmitFraction is the part that is let in, and Demand what the fleet was asked for, in requests a second.
	AdmitFraction float64
	Demand        float64
	Rate          float64
	// Age is how old the collector's word is; negative means that there is none.
	Age time.Duration
}

// Admit counts a request of the organisation and decides on it.
func (q *Quota) Admit(name string, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.rates[name]
	if r.PerSecond <= 0 {
		return Decision{Admitted: true, AdmitFraction: 1, Age: -1}
	}
	m := q.meter(name, now)
	v := Decision{Rate: r.PerSecond, Age: q.age(now), Surge: m.ahead()}
	m.ask(now)
	if v.Age < 0 {
		q.alone(m, r, now, &v)
	} else {
		q.told(m, name, now, &v)
	}
	if v.Admitted {
		m.count.Admitted++
		v.Counted = true
	}
	return v
}

// Refund takes back what a request was counted for that did not run after all.
func (q *Quota) Refund(name string, v Decision) {
	if !v.Counted {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if m := q.meters[name]; m != nil {
		m.count.Admitted--
	}
}

// told decides by the collector's word; an organisation that it doesn't name is within its rate.
func (q *Quota) told(m *meter, name string, now time.Time, v *Decision) {
	w, named := q.words[name]
	if !named {
		w.AdmitFraction = 1
	}
	v.AdmitFraction, v.Demand = w.AdmitFraction, w.Demand
	if w.AdmitFraction >= 1 {
		v.Admitted = true
		return
	}
	m.credit += w.AdmitFraction
	if m.credit >= 1 {
		m.credit--
		v.Admitted = true
		return
	}
	v.RetryAfter = wait(1-m.credit, w.AdmitFraction*m.own(now))
}

// alone decides where nothing is heard. Each daemon spends a token from another part of it on: most daemons of a large fleet never have a
// whole one, and together they are to let in what the rate gives, neither none of it nor one request each.
func (q *Quota) alone(m *meter, r Rate, now time.Time, v *Decision) {
	share := 1 / float64(q.daemons)
	if !q.heard.IsZero() {
		share = ownPart*m.share + (1-ownPart)*share
	}
	m.tokens = min(m.tokens+now.Sub(m.filled).Seconds()*r.PerSecond*share, max(r.Burst*share, m.tokens, 1))
	m.filled = now
	v.AdmitFraction, v.Demand = share, m.own(now)
	if m.tokens >= m.spendAt {
		m.tokens--
		v.Admitted = true
		return
	}
	v.RetryAfter = wait(m.spendAt-m.tokens, r.PerSecond*share)
}

// wait is how long so many tokens take at so many a second.
func wait(tokens, perSecond float64) time.Duration {
	seconds := tokens / max(perSecond, leastDemand)
	return time.Duration(min(max(seconds, 0), longestWait.Seconds()) * float64(time.Second))
}

// age is how old the collector's word is, or negative if there is none that counts.
func (q *Quota) age(now time.Time) time.Duration {
	if q.heard.IsZero() || now.Sub(q.heard) > staleAfter {
		return -1
	}
	return now.Sub(q.heard)
}

func (q *Quota) meter(name string, now time.Time) *meter {
	m := q.meters[name]
	if m == nil {
		// By chance, so that the first requests on many daemons together are the part that is open.
		m = &meter{at: now, credit: q.rand(), spendAt: q.rand(), filled: now}
		if q.heard.IsZero() {
			// The others hear of a daemon that has just started within a gap between two words.
			m.tokens = firstTokens
		}
		q.meters[name] = m
	}
	return m
}

// firstTokens is what a daemon that has never heard a word lets in of each organisation at once.
const firstTokens = 1

// own returns the daemon's own demand as it has faded since the last request.
func (m *meter) own(now time.Time) float64 {
	return m.demand * math.Exp(-now.Sub(m.at).Seconds()/ownTime.Seconds())
}

func (m *meter) ask(now time.Time) {
	m.count.Requested++
	m.demand = m.own(now) + 1/ownTime.Seconds()
	m.at = now
}

// ahead reports whether one more request makes it far more than is usual between two words.
func (m *meter) ahead() bool {
	return float64(m.count.Requested-m.told) >= aheadRequests+aheadTimes*m.usual
}
