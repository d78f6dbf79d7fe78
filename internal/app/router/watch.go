package router

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

const (
	// watchDuration is the length of one watch. A connection that no longer delivers anything is noticed when the watch is over, and a
	// change must be in force within 2 s; see fresh.MaxAge.
	watchDuration = 900 * time.Millisecond
	// changesPause is the wait after changes arrived: in a large fleet, instances that start or leave write several times a second, and
	// each change would cost a call by every reader. What must be in force within 2 s can wait that long.
	changesPause = 100 * time.Millisecond
	// spareChangesPause is that wait of all readers but the first, which are there in case the store refuses the first one. What they report is
	// still recent enough for the others then; see fresh.MaxAge.
	spareChangesPause = 400 * time.Millisecond
	// minRetryPause is the wait after a failed call to the store; it doubles up to maxRetryPause.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// outageThreshold is how long calls to the store must have failed to count as an outage: one lost connection doesn't.
	outageThreshold = 700 * time.Millisecond
	// idleInterval is how often a daemon that doesn't follow the store checks whether it has to.
	idleInterval = 50 * time.Millisecond
)

// watch follows the configuration store until the daemon stops.
func (c *control) watch() {
	revision := c.load()
	pause, wait := minRetryPause, watchDuration
	failingSince := time.Time{}
	for c.ctx.Err() == nil {
		now := time.Now()
		if revision > 0 && failingSince.IsZero() && !c.router.reporter.followsStore(now) {
			revision = max(revision, c.router.view.Load().Revision)
			sleep(c.ctx, idleInterval)
			continue
		}
		starting := !c.loader.IsLoaded()
		changes, err := c.readStore(revision, wait)
		wait = watchDuration
		now = time.Now()
		switch {
		case err == nil:
			c.fresh.RecordAnswer(now)
			c.storeRecovered(failingSince, now)
			failingSince, pause = time.Time{}, minRetryPause
			revision = changes.Revision
			c.applyChanges(changes, storeName)
			if len(changes.Entries) > 0 {
				rest := c.router.reporter.changesPause()
				sleep(c.ctx, rest)
				// The next response must not come later than it would after the shorter pause.
				wait -= rest - changesPause
			}
		case errors.Is(err, ErrHistoryGone):
			revision = 0
		case starting && c.loader.IsLoaded():
			failingSince, pause = time.Time{}, minRetryPause
			revision = c.router.view.Load().Revision
		default:
			c.fresh.RecordFailure()
			if failingSince.IsZero() {
				failingSince = now
			}
			c.storeFailed(failingSince, now, err)
			sleep(c.ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetryPause)
			if revision == 0 && starting {
				// All others that the store doesn't answer would repeat their reads as well.
				if revision = c.load(); revision > 0 {
					failingSince, pause = time.Time{}, minRetryPause
				}
			}
		}
	}
}

func (c *control) readStore(revision uint64, wait time.Duration) (catalog.Changes, error) {
	if revision == 0 {
		changes, err := c.readAll()
		c.count("all", err)
		return changes, err
	}
	changes, err := c.source.Watch(c.ctx, revision, wait)
	c.count("changes", err)
	return changes, err
}

// count counts a call to the store.
func (c *control) count(operation string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	c.router.usage.storeCalls.Add(1)
	c.router.metrics.Tagged(map[string]string{"call": operation, "outcome": outcome}).Counter(telemetry.StoreCalls).Inc(1)
}

// storeFailed records that the store doesn't answer, and asks another daemon instead: the store may refuse only this host.
func (c *control) storeFailed(since, now time.Time, err error) {
	if c.ctx.Err() != nil {
		return
	}
	if since.Equal(now) {
		c.router.log.WithError(err).Warn("store lost")
	}
	if now.Sub(since) >= outageThreshold {
		c.do(func() { c.lastOutageAt = now })
	}
	c.router.reporter.trigger()
	c.fetchFromSeeds()
}

func (c *control) storeRecovered(since, now time.Time) {
	if since.IsZero() {
		return
	}
	c.router.log.WithField("afterMs", now.Sub(since).Milliseconds()).Info("store regained")
	if now.Sub(since) >= outageThreshold {
		c.do(func() { c.lastOutageAt = now })
	}
}

// fetchFromSeeds fetches from the seeds while this daemon has no configuration.
func (c *control) fetchFromSeeds() {
	if c.router.view.Load().Table != nil {
		return
	}
	for _, seed := range c.router.settings.Seeds {
		if seed != c.router.settings.Peers {
			c.fetch(seed)
		}
	}
}
