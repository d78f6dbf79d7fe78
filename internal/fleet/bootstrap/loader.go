package bootstrap

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
)

// Fetcher fetches what another daemon has and applies it to this one.
type Fetcher interface {
	// Fetch returns what the daemon at the address has replied.
	Fetch(ctx context.Context, from netip.AddrPort) Reply
}

// Reply is what another daemon has replied to a fetch.
type Reply struct {
	Outcome Outcome
	// Daemons is the number of daemons that the other one knows of, 0 if it doesn't say.
	Daemons int
}

// Outcome is the outcome of a fetch.
type Outcome uint8

const (
	// Unavailable means that the other daemon did not reply or knows nothing itself.
	Unavailable Outcome = iota // unavailable
	// Outdated means that the other daemon has a configuration but nothing current from the store.
	Outdated // outdated
	// Current means that the other daemon has current information, but either nothing complete is published yet or it can't send it now.
	Current // current
	// Loaded means that this daemon has what the other one has, which is complete and current.
	Loaded // loaded
)

//go:generate stringer -type=Outcome -linecomment

const (
	// fetchTimeout bounds one round of fetches: a seed of a large fleet replies to hundreds of daemons at once.
	fetchTimeout = 400 * time.Millisecond
	// hedgeDelay is how long one seed is waited for before the next one is asked as well.
	hedgeDelay = 50 * time.Millisecond
	// minPause is the pause after the first round; it doubles up to maxPause, so that the messages to the seeds stay few.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Loader loads what is published when a daemon starts.
//
// Designed for a fleet that restarts as a whole, for instance after a loss of power. If each daemon read the store, the reads of hundreds
// would exceed what the store or its link can do: they time out, are repeated, and no daemon gets a configuration. Instead only the seeds read
// the store at once. The others ask the seeds and wait for an announcement of any daemon that has the configuration; only if neither comes, a
// few of them read the store.
type Loader struct {
	fetcher  Fetcher
	self     netip.AddrPort
	seeds    []netip.AddrPort
	takeover *fresh.Takeover

	once   sync.Once
	loaded chan struct{}
}

// NewLoader returns the loader of the daemon at the address.
func NewLoader(fetcher Fetcher, self netip.AddrPort, seeds []netip.AddrPort) *Loader {
	return &Loader{fetcher: fetcher, self: self, seeds: seeds, takeover: fresh.NewRandomTakeover(), loaded: make(chan struct{})}
}

// SetLoaded records that this daemon has what is published, from whatever source.
func (l *Loader) SetLoaded() { l.once.Do(func() { close(l.loaded) }) }

// IsLoaded reports whether this daemon has what is published.
func (l *Loader) IsLoaded() bool {
	select {
	case <-l.loaded:
		return true
	default:
		return false
	}
}

// UntilLoaded returns a context that ends when this daemon becomes loaded. If it is loaded already, the context ends with its parent only.
func (l *Loader) UntilLoaded(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	if l.IsLoaded() {
		return ctx, cancel
	}
	go func() {
		select {
		case <-l.loaded:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Wait waits until this daemon has what is published. It returns false if the daemon must read the store itself: it is a seed, or the wait for
// the others is over.
func (l *Loader) Wait(ctx context.Context) bool {
	others := l.others()
	if len(others) < len(l.seeds) || len(others) == 0 {
		return l.IsLoaded()
	}
	l.takeover.Reset()
	daemons := 0
	for pause := minPause; ctx.Err() == nil; pause = min(2*pause, maxPause) {
		reply := l.ask(ctx, others)
		rest := pause/2 + rand.N(pause/2)
		switch reply.Outcome {
		case Loaded:
			return true
		case Current:
			// The wait begins when no seed follows the store any more.
			l.takeover.Reset()
			daemons = 0
		case Outdated:
			if daemons == 0 {
				l.takeover.Reset()
				daemons = max(reply.Daemons, 1)
			}
		case Unavailable:
		}
		if reply.Outcome != Current {
			rest = min(rest, l.takeover.Remaining(daemons, time.Now()))
		}
		select {
		case <-l.loaded:
			return true
		case <-ctx.Done():
		case <-time.After(rest):
		}
		if reply.Outcome != Current && l.takeover.Due(daemons, time.Now()) {
			break
		}
	}
	return l.IsLoaded()
}

// others returns the seeds without this daemon.
func (l *Loader) others() []netip.AddrPort {
	var others []netip.AddrPort
	for _, i := range rand.Perm(len(l.seeds)) {
		if l.seeds[i] != l.self {
			others = append(others, l.seeds[i])
		}
	}
	return others
}

// ask asks the seeds one after the other until one has current information, and returns the best reply. A seed that doesn't reply soon delays
// the next one by hedgeDelay only.
func (l *Loader) ask(ctx context.Context, seeds []netip.AddrPort) Reply {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	replies := make(chan Reply, len(seeds))
	best := Reply{}
	for asked, replied := 0, 0; replied < len(seeds); {
		var hedge <-chan time.Time
		if asked < len(seeds) {
			seed := seeds[asked]
			go func() { replies <- l.fetcher.Fetch(ctx, seed) }()
			asked++
			hedge = time.After(hedgeDelay)
		}
		select {
		case reply := <-replies:
			replied++
			if reply.Outcome > best.Outcome {
				best = reply
			}
			if best.Outcome >= Current {
				return best
			}
		case <-hedge:
		case <-l.loaded:
			return Reply{Outcome: Loaded}
		case <-ctx.Done():
			return best
		}
	}
	return best
}
