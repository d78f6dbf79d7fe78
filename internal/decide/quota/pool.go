package quota

import (
	"maps"
	"math"
	"net/netip"
	"time"
)

// Pool is the collector's side: a token bucket for each organisation over all daemons; it is used by one goroutine at a time.
//
// A daemon sees only a few requests of an organisation between two words, and its callers move. Tokens dealt out to daemons would lie where
// nobody asks for them, and a whole token each would be more than the rate in a fleet of hundreds. One part that holds on all
// daemons needs neither: the sum of what is let in is that part of the demand, wherever it comes in.
type Pool struct {
	rates   map[string]Rate
	buckets map[string]*bucket
	heard   map[teller]*report
	// group sums up the counts of daemons since the pool began, for the fleet's collector.
	group map[string]groupCount
	// began is when the first daemon told this collector of itself; young tells that none of them had been running before.
	began time.Time
	young bool
	// part is the part of the fleet that this collector speaks for.
	part  float64
	swept time.Time
}

// bucket is one organisation's tokens over the fleet.
type bucket struct {
	// level is below 0 after more was let in than was known of.
	level  float64
	demand float64
	at     time.Time
}

// groupCount is a count with when it last rose.
type groupCount struct {
	Count
	at time.Time
}

// teller is who tells counts: a daemon of itself, or the same one of its group.
type teller struct {
	from  netip.AddrPort
	group bool
}

// report is what one daemon has told last.
type report struct {
	counts map[string]Count
	// whole means that it has been heard since it began to count, so that what is named for the first time counts from nothing.
	whole bool
	at    time.Time
}

const (
	// demandTime smooths the fleet's demand: some gaps between two words of one daemon.
	demandTime = 600 * time.Millisecond
	// spendTime is within how long tokens that were saved up may be spent: about as long as the collector's word is old. A debt is paid
	// back within debtTime.
	spendTime = 400 * time.Millisecond
	debtTime  = time.Second
	// margin and marginRequests let an organisation that is near its rate pass while its demand looks higher for a moment. The debt that
	// they leave is paid back, so they add to a window only once.
	margin         = 0.1
	marginRequests = 3.0
	// mostDebt bounds, as the time in which the rate makes up for it, what an organisation owes for requests that were let in before the
	// collector knew of them: it is not shut out for longer.
	mostDebt = 5 * time.Second
	// leastDemand keeps a part finite, in requests a second.
	leastDemand = 0.01
	// mostHear is the part of the daemons from which on their word stands for all: a few restart or are lost at any time.
	mostHear = 0.8
	// silentAfter is how long a daemon's last counts are kept, some gaps between two words: one that comes back later has told another
	// collector meanwhile, and what it let in then is not from just now.
	silentAfter = time.Second
	// youngTime is the age up to which a daemon's first counts are all from just now.
	youngTime = 2 * time.Second
	// sweepEvery is how often silent daemons and idle organisations are looked for.
	sweepEvery = time.Second
	// negligible is a demand that is not worth keeping, in requests a second.
	negligible = 0.01
)

// NewPool returns a pool without tokens, since those that were spent before it began are not known.
func NewPool() *Pool {
	return &Pool{rates: map[string]Rate{}, buckets: map[string]*bucket{}, heard: map[teller]*report{}, group: map[string]groupCount{}, part: 1}
}

// Configure puts rates in force.
func (p *Pool) Configure(rates map[string]Rate) { p.rates = rates }

// SetCoverage tells how many of all daemons have told this collector of themselves lately.
//
// While the fleet is cut in two, each side hears of its own demand only. Were each to take it for all, both together
// would let in twice the rate; so a side spends the part of the rate that it has of the daemons.
func (p *Pool) SetCoverage(heard, all int) {
	p.part = 1
	if part := float64(heard) / float64(max(all, 1)); part < mostHear {
		p.part = part
	}
}

// Update counts what a daemon tells of itself, or a collector of its group; up is for how long it has been counting.
func (p *Pool) Update(from netip.AddrPort, group bool, counts map[string]Count, up time.Duration, now time.Time) {
	if p.began.IsZero() {
		p.began, p.young = now, true
	}
	if now.Sub(p.swept) > sweepEvery {
		p.sweep(now)
	}
	who := teller{from, group}
	last := p.heard[who]
	if last == nil || now.Sub(last.at) > silentAfter {
		last = &report{counts: map[string]Count{}, whole: up <= youngTime}
		p.heard[who] = last
		p.young = p.young && last.whole
		if !last.whole {
			maps.Copy(last.counts, counts)
		}
	}
	last.at = now
	for name, c := range counts {
		before, known := last.counts[name]
		last.counts[name] = c
		switch {
		case !known && !last.whole:
			// It is named again since it has sent something after a pause: one request, as far as is known.
			before = Count{Requested: c.Requested - 1, Admitted: max(c.Admitted-1, 0)}
		case c.Requested < before.Requested:
			before = Count{}
		}
		p.count(name, group, Count{Requested: c.Requested - before.Requested, Admitted: c.Admitted - before.Admitted}, now)
	}
}

func (p *Pool) count(name string, group bool, more Count, now time.Time) {
	p.bucket(name, now).take(more)
	if group || more == (Count{}) {
		return
	}
	sum := p.group[name]
	sum.Requested += more.Requested
	sum.Admitted += more.Admitted
	sum.at = now
	p.group[name] = sum
}

// Totals returns the sums of the daemons' own counts, and for how long the pool has been counting.
func (p *Pool) Totals(now time.Time) (counts map[string]Count, up time.Duration) {
	counts = make(map[string]Count, len(p.group))
	for name, c := range p.group {
		if now.Sub(c.at) < countedFor {
			counts[name] = c.Count
		}
	}
	return counts, now.Sub(p.began)
}

// Settled reports whether the pool has heard long enough, as the gap between two words of a daemon goes, to know the demand: each
// daemon's first word, and the second of those that had been running before.
func (p *Pool) Settled(gap time.Duration, now time.Time) bool {
	if !p.young {
		gap *= 2
	}
	return !p.began.IsZero() && now.Sub(p.began) >= gap
}

// Allocations returns the word on the organisations that are named, and on all that are over their rate.
func (p *Pool) Allocations(named map[string]Count, now time.Time) map[string]Allocation {
	words := make(map[string]Allocation, len(named))
	for name := range named {
		if p.rates[name].PerSecond > 0 {
			words[name] = p.word(name, now)
		}
	}
	for name, b := range p.buckets {
		// The bucket as it was last looked at has the higher demand and the lower level.
		if _, known := words[name]; known || b.demand <= p.room(name, b) {
			continue
		}
		if w := p.word(name, now); w.AdmitFraction < 1 {
			words[name] = w
		}
	}
	return words
}

func (p *Pool) word(name string, now time.Time) Allocation {
	b := p.bucket(name, now)
	return Allocation{AdmitFraction: min(p.room(name, b)/max(b.demand, leastDemand), 1), Demand: b.demand}
}

// room is what the organisation may be let in for now, in requests a second.
func (p *Pool) room(name string, b *bucket) float64 {
	rate := p.rates[name].PerSecond
	if rate <= 0 {
		return math.Inf(1)
	}
	over := debtTime
	if b.level > 0 {
		over = spendTime
	}
	return max(p.part*rate*(1+margin)+marginRequests+b.level/over.Seconds(), 0)
}

// bucket returns the organisation's bucket as it is now.
func (p *Pool) bucket(name string, now time.Time) *bucket {
	b := p.buckets[name]
	if b == nil {
		b = &bucket{at: p.began}
		p.buckets[name] = b
	}
	r := p.rates[name]
	passed := now.Sub(b.at).Seconds()
	b.level = max(min(b.level+passed*r.PerSecond*p.part, r.Burst*p.part), -mostDebt.Seconds()*r.PerSecond)
	b.demand *= math.Exp(-passed / demandTime.Seconds())
	b.at = now
	return b
}

func (b *bucket) take(more Count) {
	b.demand += float64(more.Requested) / demandTime.Seconds()
	b.level -= float64(more.Admitted)
}

func (p *Pool) sweep(now time.Time) {
	p.swept = now
	maps.DeleteFunc(p.heard, func(_ teller, r *report) bool { return now.Sub(r.at) > silentAfter })
	maps.DeleteFunc(p.buckets, func(name string, _ *bucket) bool {
		b := p.bucket(name, now)
		return b.demand < negligible && b.level >= p.rates[name].Burst*p.part
	})
}
