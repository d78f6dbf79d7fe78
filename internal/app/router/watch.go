package router

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/fleet/fresh"
)

const (
	// watchTime is the length of one watch. A connection that went silent for good is noticed when it
	// is over, and a change must be in force within 2 s; see fresh.Limit.
	watchTime = 900 * time.Millisecond
	// changesPause is the wait after changes came: instances that start or leave write several times a second over a large fleet, and
	// each change would cost a call of every reader. What must be in force within 2 s can wait that long.
	changesPause = 100 * time.Millisecond
	// firstPause is the wait after a call to the store that failed; it doubles up to longestPause.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// outageTime is how long the store must have failed to count as away: one lost connection doesn't.
	outageTime = 700 * time.Millisecond
	// seedsTime is how long a starting daemon asks the seeds for what is published before it reads the store: callers are refused
	// meanwhile. seedsLook is the pause between two rounds, and seedTime bounds one question.
	seedsTime = 100 * time.Millisecond
	seedsLook = 20 * time.Millisecond
	seedTime  = 50 * time.Millisecond
	// idleLook is how often a daemon that doesn't follow the store looks whether it has to.
	idleLook = 50 * time.Millisecond
)

// watch follows the store until the daemon stops.
func (c *control) watch() {
	revision := c.fromSeeds()
	pause := firstPause
	failing := time.Time{}
	for c.ctx.Err() == nil {
		now := time.Now()
		if revision > 0 && failing.IsZero() && !c.router.beats.reads(now) {
			revision = max(revision, c.router.view.Load().Revision)
			sleep(c.ctx, idleLook)
			continue
		}
		ch, err := c.next(revision)
		now = time.Now()
		switch {
		case err == nil:
			c.fresh.Answered(now)
			c.regained(failing, now)
			failing, pause = time.Time{}, firstPause
			revision = ch.Revision
			c.offer(ch, storeName)
			if len(ch.Entries) > 0 {
				sleep(c.ctx, changesPause)
			}
		case errors.Is(err, ErrHistoryGone):
			revision = 0
		default:
			c.fresh.Failed()
			if failing.IsZero() {
				failing = now
			}
			c.trouble(failing, now, err)
			sleep(c.ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, longestPause)
		}
	}
}

// fromSeeds takes what is published over from a daemon that is named at the start, and returns its revision, or 0 where none of them knows it.
//
// All of it is several pages in a large fleet. Were each daemon to read them at its start, the calls to the store would grow with the
// square of the fleet, all in the second after a loss of power. The seeds themselves read the store.
func (c *control) fromSeeds() uint64 {
	seeds := c.router.settings.Seeds
	if slices.Contains(seeds, c.router.settings.Peers) {
		return 0
	}
	for end := time.Now().Add(seedsTime); len(seeds) > 0 && time.Now().Before(end); sleep(c.ctx, seedsLook) {
		for _, n := range rand.Perm(len(seeds)) {
			if revision := c.fromSeed(seeds[n]); revision > 0 {
				return revision
			}
		}
	}
	return 0
}

// fromSeed takes over what one daemon knows, if it is whole and current.
func (c *control) fromSeed(seed netip.AddrPort) uint64 {
	asked := time.Now()
	got, ok := c.request(seed, seedTime)
	if !ok || !got.Whole || got.StoreAge >= fresh.Limit {
		return 0
	}
	c.offer(got.Changes, seed.String())
	c.fresh.ObserveCollector(asked, got.StoreAge)
	c.router.beats.tell()
	return got.Changes.Revision
}

func (c *control) next(revision uint64) (catalog.Changes, error) {
	if revision == 0 {
		ch, err := c.source.Read(c.ctx)
		c.count("all", err)
		return ch, err
	}
	ch, err := c.source.Watch(c.ctx, revision, watchTime)
	c.count("changes", err)
	return ch, err
}

// count counts a call to the store.
func (c *control) count(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	c.router.metrics.Tagged(map[string]string{"call": call, "outcome": outcome}).Counter(telemetry.StoreCalls).Inc(1)
}

// trouble notes that the store doesn't answer, and asks another daemon instead: the store may turn this host away only.
func (c *control) trouble(since, now time.Time, err error) {
	if c.ctx.Err() != nil {
		return
	}
	if since.Equal(now) {
		c.router.log.WithError(err).Warn("store lost")
	}
	if now.Sub(since) >= outageTime {
		c.ask(func() { c.lastTrouble = now })
	}
	c.router.beats.tell()
	c.askSeeds()
}

func (c *control) regained(since, now time.Time) {
	if since.IsZero() {
		return
	}
	c.router.log.WithField("afterMs", now.Sub(since).Milliseconds()).Info("store regained")
	if now.Sub(since) >= outageTime {
		c.ask(func() { c.lastTrouble = now })
	}
}

// askSeeds asks the daemons named at the start while this one knows no others.
func (c *control) askSeeds() {
	if c.router.view.Load().Table != nil {
		return
	}
	for _, seed := range c.router.settings.Seeds {
		if seed != c.router.settings.Peers {
			c.fetch(seed)
		}
	}
}
