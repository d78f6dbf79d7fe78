package daemon

import (
	"context"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// keyCheck returns call.None if a caller's key still gives access, or the reason to refuse its request. A nil keyCheck
// gives access: it belongs to a request that was admitted elsewhere.
type keyCheck func(ctx context.Context) call.Reason

// newKeyCheck returns the check of a key that was valid in the view.
//
// A key may be withdrawn while a request waits in a queue or before a retry; running it afterwards would be work for a
// caller that no longer has access. After a pause of the process the lists in force don't tell of a withdrawal yet, so
// the check waits until they are confirmed. While the list of keys is unchanged, it costs one comparison.
func (d *Daemon) newKeyCheck(admitted *lists.View, key, organisation string) keyCheck {
	version := admitted.Version(lists.KindKeys)
	return func(ctx context.Context) call.Reason {
		now := time.Now()
		if !d.waitForConfirmation(ctx, now, timeLeft(ctx, now)) {
			return call.NotReady
		}
		view := d.view.Load()
		if view.Version(lists.KindKeys) == version {
			return call.None
		}
		if current, ok := view.Authenticate(key); !ok || current != organisation {
			return call.UnknownKey
		}
		return call.None
	}
}

// run runs the check.
func (k keyCheck) run(ctx context.Context) call.Reason {
	if k == nil {
		return call.None
	}
	return k(ctx)
}

// timeLeft returns the time until the deadline of the context. Without a deadline it is twice maxConfirmWait, since a wait takes at most half of it.
func timeLeft(ctx context.Context, now time.Time) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 2 * maxConfirmWait
	}
	return deadline.Sub(now)
}

// refuseKey returns the refusal of a request whose key check returned the reason.
func refuseKey(reason call.Reason) call.Answer {
	if reason == call.NotReady {
		return call.Refuse(reason, time.Second)
	}
	return call.Refuse(reason, 0)
}
