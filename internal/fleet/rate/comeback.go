package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
)

// ComeBack returns the Retry-After delay of a refused request of the organisation, given
// the time until the next token as returned by Spend or a home.
//
// Designed for an organisation that sends several times its rate. If all its refused callers
// were given the time of the next token, they would retry at once, one would get the token, and
// the rest would cost the daemon another refusal each, many times a second for as long as the
// organisation is above its rate. So the delays are spread at the rate at which this daemon
// admits requests of the organisation; the first is the time of the next token. Where that is
// later than comeback.MaxDelay, the spread is added to it.
func (b *Borrower) ComeBack(organisation string, wait time.Duration, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cache(organisation, now)
	if !ok {
		return wait
	}
	if wait > comeback.MaxDelay {
		return wait + c.retrySchedule.Next(now, 0, c.admitInterval())
	}
	return c.retrySchedule.Next(now, wait, c.admitInterval())
}

// minAdmitShare is the fraction of an organisation's rate that a daemon is assumed to admit
// if it has admitted less lately.
const minAdmitShare = 1.0 / DefaultShards

// admitInterval is the time between two requests that this daemon admits.
func (c *tokenCache) admitInterval() time.Duration {
	admitRate := max(c.admitRate, c.plan.Rate*minAdmitShare)
	return time.Duration(float64(time.Second) / admitRate)
}
