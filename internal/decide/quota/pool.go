package quota

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Pool is the collector's part of rate limiting: a token bucket for each organisation over all daemons. It is not safe for concurrent use.
//
// A daemon sees only a few requests of an organisation between two heartbeats, and clients move between daemons. Tokens handed out to
// daemons would often lie unused at the wrong ones, and a whole token for each daemon would exceed the rate in a fleet of hundreds.
// An admitted fraction that is the same on all daemons avoids both: the total admitted is that fraction of the demand, wherever it arrives.
type Pool struct {
	rates   map[string]RateLimit
	buckets map[string]*bucket
	reports map[reporter]*report
	// totals are the sums of the daemons' counts since the pool started, for the fleet's collector.
	totals map[string]timedCount
	// started is when the first daemon reported to this collector; allNew means that all daemons that report had just started.
	started time.Time
	allNew  bool
	absent  absence
	// known are the shares of the daemons that have reported to this collector, as of their first reports.
	known knownShares
	swept time.Time
}

// bucket is an organisation's token bucket over all daemons.
type bucket struct {
	// level is the number of tokens, negative after daemons have admitted more requests than the rate allows.
	level float64
	// demand is the smoothed rate of requests at all daemons, per second.
	demand  float64
	updated time.Time
	// backlog is the number of refused requests whose callers are expected to return, if the rate serves them in order.
	backlog float64
}

// timedCount is a count and the time at which it last rose.
type timedCount struct {
	Count
	raised time.Time
}

// reporter identifies the source of counts: a daemon for itself, or the same daemon as the collector of its group.
type reporter struct {
	address netip.AddrPort
	group   bool
}

// report is the latest report of one reporter.
type report struct {
	counts map[string]Count
	// fromStart means that the reporter has sent reports since it began to count, so that all requests in its first count of an
	// organisation are new.
	fromStart bool
	received  time.Time
	// shares are a daemon's shares of the fleet's demand as of this report.
	shares map[string]demandShare
	// silent means that the daemon's share of the rates is reserved for it, since its reports are missing.
	silent bool
}

const (
	// demandTimeConstant smooths the fleet's demand over several heartbeat intervals.
	demandTimeConstant = 600 * time.Millisecond
	// surplusSpendTime is the time over which saved tokens may be spent: about the age of the collector's data. A negative level is paid
	// back over debtRepayTime.
	surplusSpendTime = 400 * time.Millisecond
	debtRepayTime    = time.Second
	// marginFraction of the rate and marginRate, in requests per second, are allowed beyond the rate, so that an organisation near its rate
	// isn't limited when its demand looks higher for a moment. The resulting debt is paid back, so over any period they add to what the rate
	// allows only once.
	marginFraction = 0.1
	marginRate     = 3.0
	// maxDebt bounds the debt for requests admitted before the collector knew of them, as the time in which the rate pays it back: an
	// organisation is not blocked for longer.
	maxDebt = 5 * time.Second
	// minDemand avoids a division by zero, in requests per second.
	minDemand = 0.01
	// reporterTTL is how long a reporter's counts are recent, several heartbeat intervals: a daemon that reports again later has reported to
	// another collector meanwhile, and what it admitted in that time isn't recent.
	reporterTTL = time.Second
	// silentTTL is how long the counts of a silent reporter are kept for its return.
	silentTTL = 30 * time.Second
	// settleTTL is how long a daemon may be silent for its share and its requests in that time to be settled. Beyond, it is taken to have used
	// its share: an organisation isn't blocked for requests that were admitted long ago.
	settleTTL = 5 * time.Second
	// newUptime is the uptime up to which all of a daemon's first counts are recent.
	newUptime = 2 * time.Second
	// sweepInterval is the interval at which expired reports and idle organisations are removed.
	sweepInterval = time.Second
	// negligibleDemand is a demand in requests per second that isn't worth keeping.
	negligibleDemand = 0.01
)

// NewPool returns a pool without tokens, since those spent before it started are unknown.
func NewPool() *Pool {
	return &Pool{rates: map[string]RateLimit{}, buckets: map[string]*bucket{}, reports: map[reporter]*report{}, totals: map[string]timedCount{}, known: newKnownShares()}
}

// Configure sets the rate limits.
func (p *Pool) Configure(rates map[string]RateLimit) { p.rates = rates }

// Update applies the counts of a daemon, or of a group's collector; up is for how long the reporter has been counting.
func (p *Pool) Update(from netip.AddrPort, group bool, counts map[string]Count, up time.Duration, now time.Time) {
	if p.started.IsZero() {
		p.started, p.allNew = now, true
	}
	if now.Sub(p.swept) > sweepInterval {
		p.sweep(now)
	}
	key := reporter{from, group}
	// Without any report left, another collector has been the regular one; at the first report of all, nothing is forgotten.
	if last := p.reports[key]; len(p.reports) == 0 && p.started.Before(now) || last != nil && last.silent && p.mostSilent() {
		p.restart(now)
	}
	last, first := p.lastReport(key, counts, up, now)
	elapsed := now.Sub(last.received)
	for name, count := range counts {
		if first {
			p.bucket(name, now).level -= float64(count.Overdraft)
		}
		before, known := last.counts[name]
		last.counts[name] = count
		switch {
		case !known && !last.fromStart:
			// The organisation was left out while idle and is named again: at least one request is new.
			before = Count{Requested: count.Requested - 1, Admitted: max(count.Admitted-1, 0)}
		case count.Requested < before.Requested:
			before = Count{}
		}
		added := Count{Requested: count.Requested - before.Requested, Admitted: count.Admitted - before.Admitted}
		p.addCount(name, group, added, elapsed, now)
		if !group {
			last.addShare(name, added, p.buckets[name].demand, p.coverage(name), elapsed, now)
		}
	}
	last.decayShares(counts, now)
	last.received = now
}

// restart forgets what the daemons reported. While most of them were silent, they have probably reported to another collector, and this one
// doesn't know what they have admitted by the allocations of that one.
func (p *Pool) restart(now time.Time) {
	p.reports, p.buckets, p.known, p.absent = map[reporter]*report{}, map[string]*bucket{}, newKnownShares(), absence{}
	p.totals = map[string]timedCount{}
	p.started, p.allNew = now, false
}

// lastReport returns the last report of a reporter, or an empty one if it hasn't reported recently, which makes this one its first.
func (p *Pool) lastReport(key reporter, counts map[string]Count, up time.Duration, now time.Time) (last *report, first bool) {
	last = p.reports[key]
	if last != nil && last.silent {
		p.release(last, now)
	}
	first = last == nil || key.group && now.Sub(last.received) > reporterTTL
	if first {
		last = &report{counts: map[string]Count{}, fromStart: up <= newUptime, received: now, shares: map[string]demandShare{}}
		p.reports[key] = last
		p.allNew = p.allNew && last.fromStart
		if !last.fromStart {
			maps.Copy(last.counts, counts)
		}
		if !key.group {
			p.known.add(counts, last.fromStart)
		}
	}
	return last, first
}

func (p *Pool) addCount(name string, group bool, added Count, elapsed time.Duration, now time.Time) {
	p.bucket(name, now).add(added, elapsed)
	if group || added == (Count{}) || elapsed > reporterTTL {
		return
	}
	total := p.totals[name]
	total.Requested += added.Requested
	total.Admitted += added.Admitted
	total.raised = now
	p.totals[name] = total
}

// Totals returns the sums of the daemons' own counts, without idle organisations, and for how long the pool has been counting.
func (p *Pool) Totals(now time.Time) (counts map[string]Count, up time.Duration) {
	counts = make(map[string]Count, len(p.totals))
	for name, c := range p.totals {
		if now.Sub(c.raised) < idleTTL {
			counts[name] = c.Count
		}
	}
	return counts, now.Sub(p.started)
}

// Settled reports whether the pool has collected reports for long enough to know the demand, given the heartbeat interval: one report of
// each daemon, and a second one if some daemons were running before the pool started.
func (p *Pool) Settled(interval time.Duration, now time.Time) bool {
	if !p.allNew {
		interval *= 2
	}
	return !p.started.IsZero() && now.Sub(p.started) >= interval
}

// Allocations returns the allocations of the named organisations and of all that exceed their rate.
func (p *Pool) Allocations(named map[string]Count, now time.Time) map[string]Allocation {
	allocations := make(map[string]Allocation, len(named))
	for name := range named {
		if p.rates[name].PerSecond > 0 {
			allocations[name] = p.allocation(name, now)
		}
	}
	for name, b := range p.buckets {
		// The bucket isn't updated yet, so its demand can only be too high and its level too low.
		if _, known := allocations[name]; known || b.demand <= p.admittedRate(name, b) {
			continue
		}
		if a := p.allocation(name, now); a.AdmitFraction < 1 {
			allocations[name] = a
		}
	}
	return allocations
}

func (p *Pool) allocation(name string, now time.Time) Allocation {
	b := p.bucket(name, now)
	return Allocation{
		AdmitFraction: min(p.admittedRate(name, b)/max(b.demand, minDemand), 1), Demand: b.demand, Reserved: 1 - p.coverage(name),
		Backlog: p.backlogTime(name, b),
	}
}

// LimitedRate is what a collector bases the allocation of an organisation above its rate limit on.
type LimitedRate struct {
	Organisation string `json:"organisation"`
	// Demand is the fleet's demand in requests per second, and AdmitFraction the fraction of it that is admitted.
	Demand        float64 `json:"demand"`
	AdmitFraction float64 `json:"openShare"`
	// Tokens is the level of the bucket, negative for a debt, and Reserved the part of the rate that is reserved for missing daemons.
	Tokens   float64 `json:"tokens"`
	Reserved float64 `json:"reserved"`
}

// Limited returns the organisations that the allocations limit, those with the greatest demand first, and at most so many.
func (p *Pool) Limited(allocations map[string]Allocation, most int) []LimitedRate {
	var limited []LimitedRate
	for name, a := range allocations {
		if a.AdmitFraction < 1 {
			limited = append(limited, LimitedRate{
				Organisation: name, Demand: a.Demand, AdmitFraction: a.AdmitFraction, Tokens: p.buckets[name].level, Reserved: a.Reserved,
			})
		}
	}
	slices.SortFunc(limited, func(a, b LimitedRate) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), strings.Compare(a.Organisation, b.Organisation))
	})
	return limited[:min(len(limited), most)]
}

// Age returns how long the pool has collected reports since it started or last forgot what daemons had reported.
func (p *Pool) Age(now time.Time) time.Duration { return now.Sub(p.started) }

// backlogTime returns how long the rate takes to serve the backlog.
func (p *Pool) backlogTime(name string, b *bucket) time.Duration {
	if b.backlog < 1 {
		return 0
	}
	return refillTime(b.backlog, p.rates[name].PerSecond*p.coverage(name))
}

// admittedRate is the rate at which the organisation's requests may be admitted now, per second.
func (p *Pool) admittedRate(name string, b *bucket) float64 {
	rate := p.rates[name].PerSecond
	if rate <= 0 {
		return math.Inf(1)
	}
	horizon := debtRepayTime
	if b.level > 0 {
		horizon = surplusSpendTime
	}
	return max(p.coverage(name)*(rate*(1+marginFraction)+marginRate)+b.level/horizon.Seconds(), 0)
}

// bucket returns the organisation's bucket, updated to now.
func (p *Pool) bucket(name string, now time.Time) *bucket {
	b := p.buckets[name]
	if b == nil {
		b = &bucket{updated: p.started}
		p.buckets[name] = b
	}
	r := p.rates[name]
	elapsed := now.Sub(b.updated).Seconds()
	coverage := p.coverage(name)
	b.level = max(min(b.level+elapsed*r.PerSecond*coverage, r.Burst*coverage), -maxDebt.Seconds()*r.PerSecond)
	b.backlog = max(min(b.backlog, maxRetryAfter.Seconds()*r.PerSecond)-elapsed*r.PerSecond*coverage, 0)
	b.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	b.updated = now
	return b
}

// add counts the requests that arrived in the elapsed time.
func (b *bucket) add(added Count, elapsed time.Duration) {
	b.demand += float64(added.Requested) / max(elapsed, demandTimeConstant).Seconds()
	if elapsed <= settleTTL {
		b.level -= float64(added.Admitted)
	}
	if elapsed <= reporterTTL {
		b.backlog += max(float64(added.Requested-added.Admitted), 0)
	}
}

func (p *Pool) sweep(now time.Time) {
	p.swept = now
	maps.DeleteFunc(p.reports, func(key reporter, r *report) bool {
		age := now.Sub(r.received)
		return age > silentTTL || age > reporterTTL && key.group
	})
	maps.DeleteFunc(p.buckets, func(name string, _ *bucket) bool {
		b := p.bucket(name, now)
		return b.demand < negligibleDemand && b.level >= p.rates[name].Burst*p.coverage(name)
	})
}
