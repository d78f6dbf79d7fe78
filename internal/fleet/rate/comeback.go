package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
)

// ComeBack returns when a refused request of the organisation should come back,
// given the time until a token that Spend or a home told.
//
// It is for an organisation that sends several times its rate. Told the moment
// of the next token alone, all its refused callers come back at once, one gets
// the token, and the rest cost the daemon another refusal each, many times a
// second for as long as they are over the rate. Each is given a place of its own
// instead, at the pace at which this daemon's requests of the organisation get in;
// the first is told the next token's time. Where that is far off, the places follow it.
func (b *Borrower) ComeBack(organisation string, wait time.Duration, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purse(organisation, now)
	if !ok {
		return wait
	}
	if wait > comeback.MaxDelay {
		return wait + p.back.Next(now, 0, p.interval())
	}
	return p.back.Next(now, wait, p.interval())
}

// leastPace is the part of an organisation's rate that is assumed to get in at a
// daemon where none did lately.
const leastPace = 1.0 / DefaultShards

// interval is the time between two requests that get in here.
func (p *purse) interval() time.Duration {
	pace := max(p.pace, p.plan.Rate*leastPace)
	return time.Duration(float64(time.Second) / pace)
}
