package repeats

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Limits is the retry budget of all daemons of a fleet together.
type Limits struct {
	// Ratio is the number of retries allowed to a service for each request to it.
	Ratio float64
	// Slack is the number of further retries allowed to a service within Window, over all daemons.
	Slack float64
	// Window is the time over which retries are counted.
	Window time.Duration
}

const (
	// pacedFraction is the fraction of Ratio that daemons spend at an even pace, and windowFraction the fraction that they spend
	// within a window. The rest covers what no daemon sees: windows that begin between two of a daemon's own, and requests that move between
	// daemons.
	pacedFraction  = 0.65
	windowFraction = 0.7
	// startupFraction is the fraction of its budget that a daemon uses in the first window after its start: it doesn't know what it spent
	// before, and after a restart of all daemons nor does any other.
	startupFraction = 0.4
	// burstFraction is the fraction of a window in which the remaining budget may be spent: most failures are shorter than a window.
	burstFraction = 0.25
	// headroomBuckets is the time for which a rate must hold, in buckets of the window: requests that are admitted by a reported rate need
	// their retries within about a second.
	headroomBuckets = 2
	// slackFraction is the fraction of the slack that daemons use.
	slackFraction = 0.6
)

// Budget is one daemon's share of the fleet's retry budget for each service.
//
// It protects services that fail or decline a fraction of their requests. Each retry is one more arrival; if all daemons retried all
// failures, a service that lacks a tenth of the needed capacity would receive twice its load. A daemon earns retries with the requests
// that it sends, so that the sum over all daemons stays within the budget without coordination, plus an equal share of the slack.
//
// Requests count for two windows: when a service fails for several seconds, fewer requests are admitted, and those that are need more
// retries each.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	daemons  int
	accounts map[string]*account
	// reported is the time of the last report.
	reported time.Time
	// started is when the budget was first used.
	started time.Time
}

// account is the token bucket of one service.
type account struct {
	requests, spent counts
	tokens          float64
	refilled        time.Time
	// wanted is the number of retries requested since the last report, allowed or not, and wantedRate the smoothed rate per second.
	wanted, wantedRate float64
	// transferred is the number of retries gained from other daemons, negative if given to them; transferRate is the current rate per
	// second, valid for grantTTL after granted.
	transferred  counts
	transferRate float64
	granted      time.Time
	// constrained means that the fleet may send fewer retries than all daemons together request.
	constrained bool
}

// New returns a budget whose accounts start with a fraction of this daemon's share of the slack.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, daemons: 1, accounts: map[string]*account{}}
}

// SetDaemons sets the number of daemons in the fleet.
func (b *Budget) SetDaemons(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(daemons, 1)
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Earn counts the first attempt of a request to the service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service, now).requests.add(now, b.limits.Window, 1)
}

// Spend takes one retry to the service for a request of the priority, or returns false if none is available to it.
//
// While the fleet has fewer retries than it needs, a fraction of the saved ones is reserved for higher priorities: until admissions
// fall, the many low-priority requests would take nearly all of them.
func (b *Budget) Spend(service string, priority call.Priority, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.wanted++
	if a.tokens < 1+b.reserve(a, priority) || a.spent.sums[0]+1 > b.windowLimit(a) {
		return false
	}
	a.tokens--
	a.spent.add(now, b.limits.Window, 1)
	return true
}

// reserve is the number of tokens that requests of the priority must leave for higher priorities.
func (b *Budget) reserve(a *account, priority call.Priority) float64 {
	if !a.constrained {
		return 0
	}
	steps := float64(call.Interactive - min(priority, call.Interactive))
	return steps * reservePerPriority * max(b.capacity(a)-unreservedRetries, 0)
}

const (
	// reservePerPriority is the fraction of the capacity beyond unreservedRetries that requests must leave for each priority above theirs.
	reservePerPriority = 0.45
	// unreservedRetries is the number of tokens that are never reserved: without it, a daemon that can save one or two retries would
	// never allow the lowest priority a retry.
	unreservedRetries = 3
)

// Charge counts a sub-call of a retried run. No daemon decided to retry the sub-call itself, but the service receives it a second time: a
// retried lookup makes its sub-calls again, and these make theirs. Without the charge, each service further down the call path would add
// its own full budget of retries to these.
func (b *Budget) Charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.tokens = max(a.tokens-1, -maxDebt)
	a.spent.add(now, b.limits.Window, 1)
}

// maxDebt bounds how long a burst of charged sub-calls blocks this daemon's own retries.
const maxDebt = 50

// Rates is the retry budget income and the retry demand of one daemon or of all, in retries per second.
type Rates struct {
	Earned float64 `msgpack:"earned"`
	Wanted float64 `msgpack:"wanted"`
}

// Report returns the rates of each service for the next heartbeat, and must be called once per heartbeat.
func (b *Budget) Report(now time.Time) map[string]Rates {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := max(now.Sub(b.reported).Seconds(), minReportSeconds)
	b.reported = now
	report := make(map[string]Rates, len(b.accounts))
	for service := range b.accounts {
		a := b.account(service, now)
		a.wantedRate += (a.wanted/elapsed - a.wantedRate) * wantedWeight
		a.wanted = 0
		rates := Rates{Earned: b.rate(a), Wanted: a.wantedRate}
		if rates.Earned > negligibleRate || rates.Wanted > negligibleRate {
			report[service] = rates
		}
	}
	return report
}

const (
	// minReportSeconds is the shortest interval assumed between two reports, so that one retry doesn't become a high rate.
	minReportSeconds = 0.1
	// wantedWeight is the weight of the latest interval in the smoothed retry demand.
	wantedWeight = 0.5
	// grantTTL is how long a grant is valid.
	grantTTL = 1500 * time.Millisecond
)

// Apply applies the collector's grants, in retries per second; own is the report that they answer.
func (b *Budget) Apply(grants map[string]float64, own map[string]Rates, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, a := range b.accounts {
		b.account(service, now)
		grant, known := grants[service]
		a.constrained = known && grant <= own[service].Wanted
		if !known {
			a.transferRate = 0
			continue
		}
		a.transferRate, a.granted = grant-own[service].Earned, now
	}
}

// Grant returns the retry rate granted to a daemon. If the fleet earns less than it wants, no daemon gets more than fairCap, as returned
// by FairCap: daemons that need one retry for each request aren't cut in favour of those that need many.
func Grant(fleet, own Rates, fairCap float64) float64 {
	if fleet.Wanted >= fleet.Earned {
		return min(own.Wanted, fairCap)
	}
	return own.Wanted + (fleet.Earned-fleet.Wanted)*own.Earned/max(fleet.Earned, negligibleRate)
}

// FairCap returns the max-min fair cap: the largest cap on each demand such that the capped demands add up to no more than earned.
func FairCap(wanted []float64, earned float64) float64 {
	slices.Sort(wanted)
	for n, w := range wanted {
		if share := earned / float64(len(wanted)-n); share <= w {
			return share
		}
		earned -= w
	}
	return math.Inf(1)
}

// negligibleRate is a rate in retries per second that isn't worth reporting.
const negligibleRate = 0.05

// rate is the account's refill rate in retries per second.
func (b *Budget) rate(a *account) float64 {
	window := b.limits.Window.Seconds()
	if window <= 0 {
		return 0
	}
	recentSeconds := window / bucketsPerWindow * recentBuckets
	pace := b.usableFraction(a.refilled) * (pacedFraction*b.limits.Ratio*slices.Max(a.requests.recent[:])/recentSeconds + b.slack()/2/window)
	rate := max(pace, b.remaining(a)/(burstFraction*window))
	return min(rate, b.headroom(a)/(window/bucketsPerWindow*headroomBuckets))
}

// headroom is the number of retries that the window allows until headroomBuckets from now, when the oldest spent ones no longer count.
//
// The fleet admits requests by the rates of all daemons. After a burst at the start of an outage has used up the window, a daemon earns
// nothing, whatever its pace is, and requests admitted for that pace would fail when their sub-calls need retries.
func (b *Budget) headroom(a *account) float64 {
	expiring := a.spent.sum(bucketsPerWindow-headroomBuckets, headroomBuckets)
	return max(b.windowLimit(a)-(a.spent.sums[0]-expiring), 0)
}

// remaining is the number of retries that may be spent ahead of the even pace. Only requests that also count in the windows to come
// allow that: the smaller of the totals of the window that ends now and of the one half a window before.
func (b *Budget) remaining(a *account) float64 {
	sustained := min(a.requests.sums[0], a.requests.sums[1])
	return b.usableFraction(a.refilled)*windowFraction*b.limits.Ratio*sustained + b.slack() + a.transferred.sums[0] - a.spent.sums[0]
}

// windowLimit is the number of retries that the current window may hold.
func (b *Budget) windowLimit(a *account) float64 {
	return b.usableFraction(a.refilled)*windowFraction*b.limits.Ratio*slices.Max(a.requests.sums[:]) + max(b.slack(), 1) + a.transferred.sums[0]
}

// usableFraction is the fraction of the budget in use; it is smaller in the first window.
func (b *Budget) usableFraction(now time.Time) float64 {
	if now.Sub(b.started) < b.limits.Window {
		return startupFraction
	}
	return 1
}

// slack is this daemon's share of the retries that need no request. Only half of it is refilled per window, since saved tokens and
// refilled ones can fall into the same window.
func (b *Budget) slack() float64 { return slackFraction * b.limits.Slack / float64(b.daemons) }

// capacity is the maximum number of tokens that the account can hold.
func (b *Budget) capacity(a *account) float64 {
	rate := b.rate(a)
	if a.refilled.Sub(a.granted) < grantTTL {
		rate = max(rate+a.transferRate, 0)
	}
	return b.capacityAt(rate)
}

// capacityAt is the capacity at a refill rate.
func (b *Budget) capacityAt(rate float64) float64 { return max(b.slack()+capacitySeconds*rate, 1) }

// capacitySeconds is the number of seconds whose refilled tokens an account can hold.
const capacitySeconds = 1

// account returns the service's account, refilled up to now.
func (b *Budget) account(service string, now time.Time) *account {
	if b.started.IsZero() {
		b.started = now
	}
	a := b.accounts[service]
	if a == nil {
		a = &account{tokens: startupFraction * b.slack(), refilled: now}
		b.accounts[service] = a
	}
	a.requests.advance(now, b.limits.Window)
	a.spent.advance(now, b.limits.Window)
	a.transferred.advance(now, b.limits.Window)
	if elapsed := now.Sub(a.refilled).Seconds(); elapsed > 0 {
		rate := b.rate(a)
		if now.Sub(a.granted) < grantTTL {
			a.transferred.add(now, b.limits.Window, a.transferRate*elapsed)
			rate = max(rate+a.transferRate, 0)
		}
		a.tokens = min(a.tokens+elapsed*rate, b.capacityAt(rate))
		a.refilled = now
	}
	return a
}
