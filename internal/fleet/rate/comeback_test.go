package rate_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// retryingCallers are callers of one organisation that retry as soon as they may.
type retryingCallers struct {
	home     *rate.Home
	borrower *rate.Borrower
	due      []time.Time
	// retryAfter replaces the delay that a refused caller is given.
	retryAfter func(wait time.Duration, now time.Time) time.Duration

	sent, admitted int
}

func (c *retryingCallers) step(now time.Time) {
	c.home.Tick(now)
	for _, ask := range c.borrower.Tick(now) {
		c.borrower.Hear(ask.Home, c.home.AnswerLease(ask.Message, now), now, now)
	}
	for i, due := range c.due {
		if now.Before(due) {
			continue
		}
		c.sent++
		_, outcome, wait := c.borrower.Spend("o", now)
		if outcome == rate.Spent {
			c.admitted++
			c.due[i] = now.Add(time.Second)
			continue
		}
		c.due[i] = now.Add(c.retryAfter(wait, now))
	}
}

// An organisation has 200 callers and a rate of 20/s; refused callers retry after the delay they were given. If all
// were given the time of the next token, they would retry together and nearly all be refused: the host answers
// thousands of refusals, and the upstream on that host gets too little processor time.
func TestRefusedCallersRetrySpread(t *testing.T) {
	const callers, seconds = 200, 30
	plans := []lists.Organisation{{Organisation: "o", Plan: "p", Rate: 20, Burst: 40}}
	run := func(spread bool) *retryingCallers {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		c := &retryingCallers{home: startHome(plans, 1, now), borrower: startBorrower(plans, 1), due: make([]time.Time, callers)}
		c.retryAfter = func(wait time.Duration, _ time.Time) time.Duration { return max(wait, 20*time.Millisecond) }
		if spread {
			c.retryAfter = func(wait time.Duration, now time.Time) time.Duration { return c.borrower.ComeBack("o", wait, now) }
		}
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			c.step(now)
		}
		return c
	}
	Convey("Refused callers retry about as often as requests are admitted, and the whole rate is used", t, func() {
		together, spread := run(false), run(true)
		t.Logf("sent %d, admitted %d together; sent %d, admitted %d spread", together.sent, together.admitted, spread.sent, spread.admitted)
		So(spread.sent, ShouldBeLessThan, together.sent/5)
		So(spread.admitted, ShouldBeGreaterThan, together.admitted*95/100)
	})
}
