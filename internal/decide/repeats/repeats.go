package repeats

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Limits are what all daemons of a fleet together may repeat.
type Limits struct {
	// Ratio is the repeats that a service may get for each request for it.
	Ratio float64
	// Slack is the repeats that a service may get besides within Window, over all daemons.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

const (
	// paced is the part of the fleet's bound that daemons spend evenly, and within the part that they spend in a window. The
	// rest is for what no daemon sees: windows that begin between two of its own, and requests that move between daemons.
	paced  = 0.65
	within = 0.7
	// startPart is what a daemon uses of its own in the first window after its start: it doesn't know what it repeated before, and
	// when all have been restarted, nobody does.
	startPart = 0.4
	// soonPart is the part of a window within which what is left of it may be spent: most troubles are shorter than a window.
	soonPart = 0.25
	// slackPart is the part of the slack that daemons use.
	slackPart = 0.6
)

// Budget is one daemon's part of the fleet's bounds, for each service.
//
// It is for a service that fails or turns away part of what it gets. Each
// repeat is one more arrival there; where all daemons repeat all failures, a service that
// is a tenth short of capacity gets twice its load. A daemon earns repeats by the requests that it
// sees, so that the sum over all daemons holds without a word between them, and an equal part of the slack.
//
// Requests count for two windows, as the bound has it: when a service fails for some seconds, fewer requests are begun, and
// those that are need more repeats each.
type Budget struct {
	mu       sync.Mutex
	bounds   Limits
	daemons  int
	accounts map[string]*account
	told     time.Time
	// begun is when the budget was first used.
	begun time.Time
}

type account struct {
	requests, spent counts
	tokens          float64
	at              time.Time
	// wanted are the repeats since the last word to others, spent or not, and wantedRate what they come to a second, smoothed.
	wanted, wantedRate float64
	// lent is what the daemon got from others beyond its own, below 0 what others have of it; extra is that a second since heard.
	lent  counts
	extra float64
	heard time.Time
	// short tells that the fleet has fewer than all would like to spend.
	short bool
}

// New returns a budget whose accounts begin with their part of the slack.
func New(b Limits) *Budget {
	return &Budget{bounds: b, daemons: 1, accounts: map[string]*account{}}
}

// SetDaemons tells how many daemons there are.
func (b *Budget) SetDaemons(daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(daemons, 1)
}

// SetLimits replaces the bounds.
func (b *Budget) SetLimits(bounds Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// Earn counts a request for the service that is sent there for the first time.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).requests.add(now, b.bounds.Window, 1)
}

// Spend takes one repeat towards the service for a request of that priority, or reports that there is none left for it.
//
// Where the fleet is short of repeats, those that are saved up are kept for requests that go first: until less is begun, nearly all would go
// to the many that go last.
func (b *Budget) Spend(service string, p call.Priority, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service, now)
	a.wanted++
	if a.tokens < 1+b.kept(a, p) || a.spent.sums[0]+1 > b.mostInWindow(a) {
		return false
	}
	a.tokens--
	a.spent.add(now, b.bounds.Window, 1)
	return true
}

// kept is what requests of the priority leave for those that go before them.
func (b *Budget) kept(a *account, p call.Priority) float64 {
	if !a.short {
		return 0
	}
	behind := float64(call.Interactive - min(p, call.Interactive))
	return behind * keptStep * max(b.most(a)-keptFrom, 0)
}

const (
	// keptStep is the part of what can be saved up that is kept from requests for each priority that goes before theirs.
	keptStep = 0.45
	// keptFrom is how many repeats are kept from nobody: a daemon that can save up one or two would never let those that go last have any.
	keptFrom = 3
)

// Charge counts a request that a repeated run makes: nobody here decided on it, but it is a repeat for the service all the same.
// A lookup that is repeated repeats its calls, and theirs, and without this each service down the chain would
// add repeats of its own on top.
func (b *Budget) Charge(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.of(service, now)
	a.tokens = max(a.tokens-1, -mostDebt)
	a.spent.add(now, b.bounds.Window, 1)
}

// mostDebt bounds how long a burst of repeats from above keeps this daemon from any of its own.
const mostDebt = 50

// Rates is what one daemon, or all of them, may repeat and would like to repeat, a second.
type Rates struct {
	Earned float64 `msgpack:"earned"`
	Wanted float64 `msgpack:"wanted"`
}

// Report returns the daemon's word on each service for the others; it is called at each word to them.
func (b *Budget) Report(now time.Time) map[string]Rates {
	b.mu.Lock()
	defer b.mu.Unlock()
	gap := max(now.Sub(b.told).Seconds(), leastGap)
	b.told = now
	all := make(map[string]Rates, len(b.accounts))
	for service := range b.accounts {
		a := b.of(service, now)
		a.wantedRate += (a.wanted/gap - a.wantedRate) * wantedWeight
		a.wanted = 0
		w := Rates{Earned: b.rate(a), Wanted: a.wantedRate}
		if w.Earned > negligible || w.Wanted > negligible {
			all[service] = w
		}
	}
	return all
}

const (
	// leastGap bounds what one repeat comes to where two words follow each other closely, in seconds.
	leastGap = 0.1
	// wantedWeight is the weight of the time since the last word in what a daemon would like to repeat.
	wantedWeight = 0.5
	// heardTime is how long a grant holds without a new one.
	heardTime = 1500 * time.Millisecond
)

// Apply takes in what the daemon may repeat of all that the fleet may, a second; it told own.
func (b *Budget) Apply(granted map[string]float64, own map[string]Rates, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, a := range b.accounts {
		b.of(service, now)
		grant, known := granted[service]
		a.short = known && grant <= own[service].Wanted
		if !known {
			a.extra = 0
			continue
		}
		a.extra, a.heard = grant-own[service].Earned, now
	}
}

// Grant returns the part of what the fleet may repeat that a daemon gets. Where that is less than all would like to, none gets more
// than most, which FairCap returns: daemons that need few, for requests that need one each, are not cut for those that need many.
func Grant(fleet, own Rates, most float64) float64 {
	if fleet.Wanted >= fleet.Earned {
		return min(own.Wanted, most)
	}
	return own.Wanted + (fleet.Earned-fleet.Wanted)*own.Earned/max(fleet.Earned, negligible)
}

// FairCap returns the largest amount with which all that is wanted, each up to it, adds up to no more than there is.
func FairCap(wanted []float64, earned float64) float64 {
	slices.Sort(wanted)
	for n, w := range wanted {
		if each := earned / float64(len(wanted)-n); each <= w {
			return each
		}
		earned -= w
	}
	return math.Inf(1)
}

// negligible is a rate, in repeats a second, that is not worth telling.
const negligible = 0.05

// rate is how many repeats a second the account gains.
func (b *Budget) rate(a *account) float64 {
	window := b.bounds.Window.Seconds()
	if window <= 0 {
		return 0
	}
	moment := window / perWindow * recently
	even := b.usable(a.at) * (paced*b.bounds.Ratio*slices.Max(a.requests.rates[:])/moment + b.slack()/2/window)
	return max(even, b.left(a)/(soonPart*window))
}

// left is what may be spent ahead of the even pace. Only requests that count for all windows to come allow that: those of the window
// that ends now, and of the one half a window before.
func (b *Budget) left(a *account) float64 {
	sure := min(a.requests.sums[0], a.requests.sums[1])
	return b.usable(a.at)*within*b.bounds.Ratio*sure + b.slack() + a.lent.sums[0] - a.spent.sums[0]
}

// mostInWindow is how many repeats a window may hold by the requests so far.
func (b *Budget) mostInWindow(a *account) float64 {
	return b.usable(a.at)*within*b.bounds.Ratio*slices.Max(a.requests.sums[:]) + max(b.slack(), 1) + a.lent.sums[0]
}

// usable is the part of the budget that is used now.
func (b *Budget) usable(now time.Time) float64 {
	if now.Sub(b.begun) < b.bounds.Window {
		return startPart
	}
	return 1
}

// slack is this daemon's part of the repeats that need no request. Half of it comes back in a window: what was saved up
// and what comes back add up in one.
func (b *Budget) slack() float64 { return slackPart * b.bounds.Slack / float64(b.daemons) }

// most is what the account can save up.
func (b *Budget) most(a *account) float64 {
	rate := b.rate(a)
	if a.at.Sub(a.heard) < heardTime {
		rate = max(rate+a.extra, 0)
	}
	return b.mostAt(rate)
}

func (b *Budget) mostAt(rate float64) float64 { return max(b.slack()+savedFor*rate, 1) }

// savedFor is for how long repeats can be saved up, in seconds.
const savedFor = 1

func (b *Budget) of(service string, now time.Time) *account {
	if b.begun.IsZero() {
		b.begun = now
	}
	a := b.accounts[service]
	if a == nil {
		a = &account{tokens: startPart * b.slack(), at: now}
		b.accounts[service] = a
	}
	a.requests.turn(now, b.bounds.Window)
	a.spent.turn(now, b.bounds.Window)
	a.lent.turn(now, b.bounds.Window)
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		rate := b.rate(a)
		if now.Sub(a.heard) < heardTime {
			a.lent.add(now, b.bounds.Window, a.extra*passed)
			rate = max(rate+a.extra, 0)
		}
		a.tokens = min(a.tokens+passed*rate, b.mostAt(rate))
		a.at = now
	}
	return a
}
