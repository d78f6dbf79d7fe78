package daemon

import (
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// standing is the control thread's last word on whether the lists are current.
type standing struct {
	spread.Standing
	looked time.Time
	// since is when this standing began.
	since time.Time
}

// takes reports whether callers' requests are taken at this moment.
func (d *Daemon) takes(now time.Time) bool {
	s := d.standing.Load()
	return s.Takes(s.looked, now) && d.view.Load().Complete()
}

const (
	// confirmWait is how long callers wait for the lists to be confirmed, at most half of their
	// own time: with few peers in reach it takes the spreading's grace of as long.
	confirmWait = 2 * time.Second
	confirmLook = 5 * time.Millisecond
)

// awaitTakes reports whether callers' requests are taken, now or a moment from now.
//
// A process that wakes from a pause finds the requests of that time in its
// buffers. Its peers confirm its lists within milliseconds, but refused at once
// all of these would have come in vain, each inside its rate. A daemon that is
// cut off, or has been unconfirmed for longer, refuses at once: waiting would
// only hold its refusals back.
func (d *Daemon) awaitTakes(r *http.Request, begun time.Time) bool {
	if d.takes(begun) {
		return true
	}
	wait := confirmWait
	if timeout, ok := d.timeout(r); ok {
		wait = min(wait, timeout/2)
	}
	for time.Now().Before(d.unconfirmedSince(begun).Add(wait)) && r.Context().Err() == nil {
		sleep(r.Context(), confirmLook)
		if d.takes(time.Now()) {
			return true
		}
	}
	return false
}

// unconfirmedSince is when the lists stopped to count as current, or when the
// request came in if that was later; a daemon that nobody answers has long waited.
func (d *Daemon) unconfirmedSince(begun time.Time) time.Time {
	s := d.standing.Load()
	switch {
	case s.Standing == spread.Isolated:
		return time.Time{}
	case s.Standing == spread.Serving, s.since.After(begun):
		return begun
	default:
		return s.since
	}
}

// show publishes the standing, and from time to time which hosts get no new work.
func (c *control) show(now time.Time) {
	next, looked := c.core.Standing()
	before, since := c.daemon.standing.Load(), now
	switch {
	case before == nil:
	case before.Standing == next:
		since = before.since
	default:
		c.daemon.log.WithField("standing", next.String()).WithField("before", before.String()).Info("standing")
	}
	c.daemon.standing.Store(&standing{Standing: next, looked: looked, since: since})
	if now.Sub(c.viewed) >= viewEvery {
		c.showMembers(now)
	}
}

// viewEvery is how often the view of members is renewed without news; it holds times that run out.
const viewEvery = time.Second

func (c *control) showMembers(now time.Time) {
	c.viewed = now
	c.daemon.members.Store(c.members.View(now))
}
