package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/spread"
)

// servingState says whether the control goroutine, when it last checked, considered the lists current.
type servingState struct {
	spread.Standing
	checkedAt time.Time
	// since is when the daemon entered this state.
	since time.Time
}

// acceptsCallers reports whether callers' requests are accepted at this moment.
func (d *Daemon) acceptsCallers(now time.Time) bool {
	s := d.servingState.Load()
	return s.Takes(s.checkedAt, now) && d.view.Load().Complete()
}

const (
	// maxConfirmWait is how long a caller's request waits for the lists to be confirmed, at most half of its timeout.
	// With few peers in reach a confirmation takes the grace period of package spread, which is as long.
	maxConfirmWait      = 2 * time.Second
	confirmPollInterval = 5 * time.Millisecond
)

// waitToAccept reports whether callers' requests are accepted, now or after a short wait.
func (d *Daemon) waitToAccept(r *http.Request, arrived time.Time) bool {
	timeout, ok := d.timeout(r)
	if !ok {
		timeout = 2 * maxConfirmWait
	}
	return d.waitForConfirmation(r.Context(), arrived, timeout)
}

// waitForConfirmation reports whether the lists are current, now or after a short wait, for a request that had the given
// time left at the given moment.
//
// A process that resumes after a pause finds the requests of that time in its buffers. Its peers confirm its lists within
// milliseconds; without the wait all these requests would be refused although each is within its rate limit. A
// daemon that is isolated, or has been unconfirmed for longer, refuses at once, since waiting would only delay the refusals.
//
// The lists must be current now, not at the given moment: the process may have been paused between the two.
func (d *Daemon) waitForConfirmation(ctx context.Context, from time.Time, left time.Duration) bool {
	began := time.Now()
	if d.acceptsCallers(began) {
		return true
	}
	for time.Now().Before(d.confirmDeadline(from, left, began)) && ctx.Err() == nil {
		sleep(ctx, confirmPollInterval)
		if d.acceptsCallers(time.Now()) {
			return true
		}
	}
	return false
}

// confirmDeadline returns until when a request waits for the lists to be confirmed: at most half of the time that it had left when its wait
// began.
func (d *Daemon) confirmDeadline(from time.Time, left time.Duration, began time.Time) time.Time {
	since := d.unconfirmedSince(began)
	elapsed := max(since.Sub(from), 0)
	return since.Add(min(maxConfirmWait, (left-elapsed)/2))
}

// unconfirmedSince returns when the lists stopped to count as current, or when the request's wait began if that is not known yet. It may be
// after the request's arrival: a process that is paused between the two would otherwise refuse the request as soon as it resumes, without a
// wait. For an isolated daemon it returns the zero time, so that its requests don't wait.
func (d *Daemon) unconfirmedSince(began time.Time) time.Time {
	switch s := d.servingState.Load(); s.Standing {
	case spread.Isolated:
		return time.Time{}
	case spread.Serving:
		return began
	default:
		return s.since
	}
}

// publishState publishes the serving state, and once per membersInterval the view of members.
func (c *control) publishState(now time.Time) {
	standing, checked := c.core.Standing()
	previous, since := c.daemon.servingState.Load(), now
	switch {
	case previous == nil:
	case previous.Standing == standing:
		since = previous.since
	default:
		c.daemon.log.WithField("standing", standing.String()).WithField("before", previous.String()).Info("standing")
	}
	c.daemon.servingState.Store(&servingState{Standing: standing, checkedAt: checked, since: since})
	if now.Sub(c.membersPublishedAt) >= membersInterval {
		c.publishMembers(now)
	}
}

// membersInterval is how often the view of members is renewed without news, since it contains times that expire.
const membersInterval = time.Second

func (c *control) publishMembers(now time.Time) {
	c.membersPublishedAt = now
	c.daemon.members.Store(c.members.View(now))
}
