package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
	"github.com/foxtailhook/foxtailhook/internal/wire/platform"
)

const (
	minRetryDelay  = 200 * time.Millisecond
	maxRetryJitter = 800 * time.Millisecond
	// versionCheckWait is the long-poll wait of a read that only checks for a newer version.
	versionCheckWait = time.Millisecond
)

// updateWatches starts or ends the watches as this daemon becomes one of its availability zone's readers or stops being one.
func (c *control) updateWatches() {
	shouldRead := c.core.Reads(c.unusable)
	if shouldRead == (c.stopReading != nil) {
		return
	}
	c.daemon.log.WithField("reader", shouldRead).Info("platform")
	if !shouldRead {
		c.stopReading()
		c.stopReading = nil
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopReading = cancel
	for k := range lists.Kinds {
		kind := lists.Kind(k)
		after := max(c.set.Value(kind).Version, c.set.Rejection(kind).Version)
		c.done.Go(func() { c.watch(ctx, kind, after) })
	}
}

// watch follows one list while this daemon is a reader. After a failure it waits a random time, so that the end of an
// outage doesn't make all readers ask at once.
func (c *control) watch(ctx context.Context, kind lists.Kind, after uint64) {
	for ctx.Err() == nil {
		started := time.Now()
		v, err := c.platform.Watch(ctx, kind, after, c.daemon.settings.Watch)
		answered := err == nil || errors.Is(err, platform.ErrUnchanged)
		if !answered {
			c.daemon.log.WithError(err).Debug("platform")
			sleep(ctx, minRetryDelay+rand.N(maxRetryJitter))
			continue
		}
		after = max(after, v.Version)
		c.do(func() {
			c.core.PlatformAnswered(started, time.Now(), false)
			if err == nil {
				c.apply(v)
			}
		})
	}
}

// readLists reads the host list or all lists from the platform once. For a list of which this daemon has no version it
// long-polls, so that a platform without lists isn't polled in a tight loop.
func (c *control) readLists(what spread.Read, started time.Time) {
	if c.reading {
		return
	}
	c.reading = true
	first := lists.KindHosts
	if what == spread.ReadAll {
		first = 0
	}
	c.done.Go(func() {
		var reads sync.WaitGroup
		var failures sync.Map
		for k := first; int(k) < lists.Kinds; k++ {
			reads.Go(func() {
				if err := c.readList(k); err != nil {
					failures.Store(k, err)
				}
			})
		}
		reads.Wait()
		failed := false
		failures.Range(func(_, err any) bool {
			failed = true
			c.daemon.log.WithError(err.(error)).Debug("platform")
			return false
		})
		c.do(func() {
			c.reading = false
			if !failed {
				now := time.Now()
				c.core.PlatformAnswered(started, now, what == spread.ReadAll)
				c.publishState(now)
			}
		})
	})
}

func (c *control) readList(kind lists.Kind) error {
	var after uint64
	c.do(func() { after = c.set.Value(kind).Version })
	wait := versionCheckWait
	if after == 0 {
		wait = c.daemon.settings.Watch
	}
	v, err := c.platform.Watch(c.ctx, kind, after, wait)
	switch {
	case err == nil:
		c.do(func() { c.apply(v) })
		return nil
	case errors.Is(err, platform.ErrUnchanged):
		return nil
	default:
		return err
	}
}
