package rate_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// crowd is callers of one organisation who send again as soon as they may.
type crowd struct {
	home     *rate.Home
	borrower *rate.Borrower
	due      []time.Time
	// told changes the time that a refused caller hears.
	told func(wait time.Duration, now time.Time) time.Duration

	sent, admitted int
}

func (c *crowd) step(now time.Time) {
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
		c.due[i] = now.Add(c.told(wait, now))
	}
}

// An organisation's program has 200 callers and a rate of 20/s. Each that is refused comes back when it was told to.
// If all are told the moment of the next token, they come back together and nearly all are refused again: the host
// answers refusals by the thousand, and the upstream beside it goes short of processor time.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	const callers, seconds = 200, 30
	plans := []lists.Organisation{{Organisation: "o", Plan: "p", Rate: 20, Burst: 40}}
	run := func(spread bool) *crowd {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		c := &crowd{home: startHome(plans, 1, now), borrower: startBorrower(plans, 1), due: make([]time.Time, callers)}
		c.told = func(wait time.Duration, _ time.Time) time.Duration { return max(wait, 20*time.Millisecond) }
		if spread {
			c.told = func(wait time.Duration, now time.Time) time.Duration { return c.borrower.ComeBack("o", wait, now) }
		}
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			c.step(now)
		}
		return c
	}
	Convey("Refused callers come back about as often as there are places, and none of the rate is lost", t, func() {
		together, spread := run(false), run(true)
		t.Logf("sent %d, admitted %d together; sent %d, admitted %d spread", together.sent, together.admitted, spread.sent, spread.admitted)
		So(spread.sent, ShouldBeLessThan, together.sent/5)
		So(spread.admitted, ShouldBeGreaterThan, together.admitted*95/100)
	})
}
