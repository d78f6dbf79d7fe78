package quota

import (
	"math"
	"time"
)

// absence is what the collector knows of the daemons that don't report to it, and may admit requests by their own shares of the rates.
//
// During a network partition each side knows only its own demand. What a collector gives out and what daemons without it admit must add up
// to one rate. A daemon whose reports are missing admits by the share that it had at its last report, so the collector reserves that share
// from then on. It reserves equal shares for daemons that it has never heard of.
type absence struct {
	// daemons is the number of daemons in the fleet, and reporting the number of those that are counted as reporting. missing is the number of
	// the others, and at least that of the silent ones that may still be counted.
	daemons, reporting, missing int
	// unknown is the number of missing daemons whose shares are not known.
	unknown int
	// shares are the sums of the known shares of the missing daemons, by organisation.
	shares  map[string]float64
	updated time.Time
}

// demandShare is a daemon's share of the fleet's demand of one organisation.
type demandShare struct {
	// demand is the smoothed rate of requests at the daemon, per second, as of updated.
	demand  float64
	updated time.Time
	// share is the part of the fleet's demand, 0 to 1, and burst the part of the saved burst that is reserved while the daemon is silent.
	share, burst float64
	// earlier is the share as of at least silentAfter ago, recent a later one, as of recentAt.
	earlier, recent float64
	recentAt        time.Time
	// unassigned is the part that is reserved in addition to share while the daemon is silent: its equal part of what no daemon's share covers.
	unassigned float64
}

// keepEarlier keeps an older value of the share. A collector that loses other daemons overestimates the shares of those that it still hears,
// so the value from before the loss is used.
func (s *demandShare) keepEarlier(now time.Time) {
	if now.Sub(s.recentAt) >= silentAfter {
		s.earlier, s.recent, s.recentAt = s.recent, s.share, now
	}
}

// reserved is the part of the rate that is reserved for a silent daemon's demand.
func (s demandShare) reserved() float64 { return s.share + s.unassigned }

const (
	// silentAfter is the time since a daemon's last report after which its share is reserved: by then it admits by that share.
	silentAfter = allocationTTL
	// absenceInterval limits how often silent daemons are looked for.
	absenceInterval = 50 * time.Millisecond
	// uncountedAfter is the time since a daemon's last report after which the caller of SetCoverage surely no longer counts it as reporting.
	uncountedAfter = 2 * time.Second
	// maxSkew bounds the share of daemons that have never reported, as a multiple of equal shares: a few daemons are not expected to receive
	// most of the demand.
	maxSkew = 3.0
)

// SetCoverage sets how many of all daemons have reported to this collector recently.
func (p *Pool) SetCoverage(reporting, all int, now time.Time) {
	if all == p.absent.daemons && reporting == p.absent.reporting && now.Sub(p.absent.updated) < absenceInterval {
		return
	}
	for name := range p.buckets {
		p.bucket(name, now)
	}
	p.absent = p.currentAbsence(reporting, all, now)
}

// currentAbsence returns what is known of the daemons that don't report, and reserves the shares of those that have just become silent.
func (p *Pool) currentAbsence(reporting, all int, now time.Time) absence {
	missing := max(all-reporting, 0)
	counted, uncounted := p.reserveSilent(now)
	return absence{
		daemons: all, reporting: reporting, missing: max(missing, counted), unknown: max(missing-counted-uncounted, 0),
		shares: p.silentShares(missing, uncounted, now), updated: now,
	}
}

// reserveSilent reserves the shares of the daemons that have just become silent. It returns the number of silent daemons that may still be
// counted as reporting, and that of the others.
func (p *Pool) reserveSilent(now time.Time) (counted, uncounted int) {
	var unassigned map[string]float64
	for key, r := range p.reports {
		silence := now.Sub(r.received)
		switch {
		case key.group || silence <= silentAfter:
			continue
		case silence <= uncountedAfter:
			counted++
		default:
			uncounted++
		}
		if !r.silent {
			if unassigned == nil {
				unassigned = p.unassignedShares(now)
			}
			p.reserve(r, unassigned, now)
		}
	}
	return counted, uncounted
}

// unassignedShares returns, by organisation, the equal part of each daemon that hasn't been silent in what the daemons' shares leave. Shares follow
// the demand over about two seconds, so they cover little of an organisation that has just begun to send. Without this part, a collector that is cut
// off then takes nearly the whole rate for itself, while the others have another collector that gives them equal parts.
func (p *Pool) unassignedShares(now time.Time) map[string]float64 {
	parts := make(map[string]float64, len(p.buckets))
	for name := range p.buckets {
		parts[name] = 1
	}
	reporting := p.absent.daemons
	for key, r := range p.reports {
		if key.group {
			continue
		}
		overdue := now.Sub(r.received) > silentAfter
		if r.silent {
			reporting--
		}
		for name, s := range r.shares {
			if overdue {
				parts[name] -= s.reserved()
			} else {
				parts[name] -= s.earlier
			}
		}
	}
	for name, rest := range parts {
		parts[name] = max(rest, 0) / float64(max(reporting, 1))
	}
	return parts
}

// silentShares returns the sums of the silent daemons' shares, by organisation. A silent daemon that has left the list of hosts isn't missing any
// more. Which ones have left isn't known here, so the shares of all that are uncounted are reduced to the number of missing daemons.
func (p *Pool) silentShares(missing, uncounted int, now time.Time) map[string]float64 {
	shares := map[string]float64{}
	weight := math.Min(1, float64(missing)/float64(max(uncounted, 1)))
	for key, r := range p.reports {
		if key.group || !r.silent {
			continue
		}
		part := 1.0
		if now.Sub(r.received) > uncountedAfter {
			part = weight
		}
		for name, s := range r.shares {
			shares[name] += part * s.reserved()
		}
	}
	return shares
}

// mostSilent reports whether more than half of the daemons that reported to this collector are silent.
func (p *Pool) mostSilent() bool {
	silent, all := 0, 0
	for key, r := range p.reports {
		if !key.group {
			all++
		}
		if r.silent {
			silent++
		}
	}
	return 2*silent > all
}

// reserve takes a silent daemon's share of the rates since its last report, and of the saved bursts, from the buckets.
func (p *Pool) reserve(r *report, unassigned map[string]float64, now time.Time) {
	r.silent = true
	for name, part := range unassigned {
		s := r.shares[name]
		s.unassigned = part
		r.shares[name] = s
	}
	for name, s := range r.shares {
		b, rate := p.bucket(name, now), p.rates[name]
		s.burst = demandShareWeight * s.reserved() * min(max(b.level, 0), rate.savedBurst())
		r.shares[name] = s
		b.level -= s.tokensSince(r.received, rate, now) + s.burst
	}
}

// release gives back a daemon's reserved share, of which it now reports what it has used.
func (p *Pool) release(r *report, now time.Time) {
	r.silent = false
	settles := now.Sub(r.received) <= settleTTL
	for name, s := range r.shares {
		if settles {
			p.bucket(name, now).level += s.tokensSince(r.received, p.rates[name], now) + s.burst
		}
		s.unassigned = 0
		r.shares[name] = s
	}
}

// tokensSince returns the tokens that a daemon's share of the rate has gained since a time.
func (s demandShare) tokensSince(from time.Time, r RateLimit, now time.Time) float64 {
	return demandShareWeight * s.reserved() * r.PerSecond * now.Sub(from).Seconds()
}

// coverage returns the part of an organisation's rate that isn't reserved for missing daemons.
func (p *Pool) coverage(name string) float64 {
	a := &p.absent
	if a.missing == 0 {
		return 1
	}
	equal := (1 - demandShareWeight) * float64(a.missing) / float64(a.daemons)
	silent, known := a.shares[name]
	if !known {
		// The organisation has begun to send since.
		silent = float64(a.missing-a.unknown) / float64(a.daemons)
	}
	byDemand := demandShareWeight * (silent + p.unknownShare(name))
	return max(1-equal-byDemand, 0)
}

// unknownShare returns the share of the missing daemons that have never reported to this collector: what the shares of the others leave, and at
// least equal shares, since the shares of small demands add up to more than one.
func (p *Pool) unknownShare(name string) float64 {
	a := &p.absent
	if a.unknown == 0 {
		return 0
	}
	equal := float64(a.unknown) / float64(a.daemons)
	known, ok := p.known.shares[name]
	if !ok {
		return equal
	}
	started := float64(p.known.started) / float64(a.daemons)
	return min(max(1-known-started, equal), maxSkew*equal)
}

// knownShares are the sums of the daemons' shares as of their first reports to this collector, by organisation.
type knownShares struct {
	shares map[string]float64
	// started is the number of daemons that had just started, and use equal shares.
	started int
}

func newKnownShares() knownShares { return knownShares{shares: map[string]float64{}} }

// add adds the shares that a daemon's first report states.
func (k *knownShares) add(counts map[string]Count, started bool) {
	if started {
		k.started++
		return
	}
	for name, count := range counts {
		if count.Share > 0 {
			k.shares[name] += float64(min(count.Share, shareUnits)) / shareUnits
		}
	}
}

// addShare updates the daemon's share of an organisation's demand with the requests that arrived in the elapsed time.
func (r *report) addShare(name string, added Count, fleetDemand, coverage float64, elapsed time.Duration, now time.Time) {
	s := r.shares[name]
	decay := math.Exp(-now.Sub(s.updated).Seconds() / localDemandTimeConstant.Seconds())
	s.demand = s.demand*decay + float64(added.Requested)/max(elapsed, localDemandTimeConstant).Seconds()
	observed := coverage * s.demand / max(fleetDemand, s.demand, minDemand)
	s.share = smoothShare(s.share, observed)
	s.updated = now
	s.keepEarlier(now)
	r.shares[name] = s
}

// decayShares lowers the shares of the organisations that a report doesn't name, which are idle at the daemon.
func (r *report) decayShares(counts map[string]Count, now time.Time) {
	for name, s := range r.shares {
		if _, named := counts[name]; named {
			continue
		}
		if s.share = smoothShare(s.share, 0); s.share == 0 {
			delete(r.shares, name)
			continue
		}
		s.keepEarlier(now)
		r.shares[name] = s
	}
}
