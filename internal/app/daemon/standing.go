package daemon

import (
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// servingState is the control thread's last word on whether the lists are current.
type servingState struct {
	spread.Standing
	checked time.Time
	// since is when this standing began.
	since time.Time
}

// acceptsCallers reports whether callers' requests are taken at this moment.
func (d *Daemon) acceptsCallers(now time.Time) bool {
	s := d.servingState.Load()
	return s.Takes(s.checked, now) && d.view.Load().Complete()
}

const (
	// maxConfirmWait is how long callers wait for the lists to be confirmed, at most half of their
	// own time: with few peers in reach it takes the spreading's grace of as long.
	maxConfirmWait      = 2 * time.Second
	confirmPollInterval = 5 * time.Millisecond
)

// waitToAccept reports whether callers' requests are taken, now or a moment from now.
//
// A process that wakes from a pause finds the requests of that time in its
// buffers. Its peers confirm its lists within milliseconds, but refused at once
// all of these would have come in vain, each inside its rate. A daemon that is
// cut off, or has been unconfirmed for longer, refuses at once: waiting would
// only hold its refusals back.
func (d *Daemon) waitToAccept(r *http.Request, arrived time.Time) bool {
	if d.acceptsCallers(arrived) {
		return true
	}
	wait := maxConfirmWait
	if timeout, ok := d.timeout(r); ok {
		wait = min(wait, timeout/2)
	}
	for time.Now().Before(d.unconfirmedSince(arrived).Add(wait)) && r.Context().Err() == nil {
		sleep(r.Context(), confirmPollInterval)
		if d.acceptsCallers(time.Now()) {
			return true
		}
	}
	return false
}

// unconfirmedSince is when the lists stopped to count as current, or when the
// request came in if that was later; a daemon that nobody answers has long waited.
func (d *Daemon) unconfirmedSince(arrived time.Time) time.Time {
	s := d.servingState.Load()
	switch {
	case s.Standing == spread.Isolated:
		return time.Time{}
	case s.Standing == spread.Serving, s.since.After(arrived):
		return arrived
	default:
		return s.since
	}
}

// publishState publishes the standing, and from time to time which hosts get no new work.
func (c *control) publishState(now time.Time) {
	next, checked := c.core.Standing()
	before, since := c.daemon.servingState.Load(), now
	switch {
	case before == nil:
	case before.Standing == next:
		since = before.since
	default:
		c.daemon.log.WithField("standing", next.String()).WithField("before", before.String()).Info("standing")
	}
	c.daemon.servingState.Store(&servingState{Standing: next, checked: checked, since: since})
	if now.Sub(c.membersPublished) >= membersInterval {
		c.publishMembers(now)
	}
}

// membersInterval is how often the view of members is renewed without news; it holds times that run out.
const membersInterval = time.Second

func (c *control) publishMembers(now time.Time) {
	c.membersPublished = now
	c.daemon.members.Store(c.members.View(now))
}
