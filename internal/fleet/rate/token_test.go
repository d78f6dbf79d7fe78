package rate_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// A request has its token and is then refused by an overloaded service. If the token is
// lost, a caller inside its rate is refused a second time for its rate; if it came
// back after its home had counted it as spent, the organisation would get more than its burst.
func TestGiveBack(t *testing.T) {
	plans := []lists.Organisation{{Organisation: "o", Plan: "p", Rate: 10, Burst: 10}}
	cases := []struct {
		name   string
		told   bool
		later  time.Duration
		forced bool
		back   bool
		unsafe bool
	}{
		{name: "at once", back: true},
		{name: "after its home was told", told: true},
		{name: "after its loan ran out", later: 2 * time.Second},
		{name: "forced, after its home was told", told: true, forced: true, back: true, unsafe: true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			now := rates.Start
			check := rates.NewChecker(plans, now)
			h, b := startHome(plans, 1, now), startBorrower(plans, 1)
			now = now.Add(time.Minute)
			ask, _ := b.Urgent("o", only, 1, rate.Waiting, now)
			b.Hear(only, h.AnswerLease(ask.Message, now), now, now)
			token, ok := b.Take("o", now)
			So(ok, ShouldBeTrue)
			if c.told {
				ask, _ := b.Urgent("o", only, 2, rate.Waiting, now)
				b.Hear(only, h.AnswerLease(ask.Message, now), now, now)
			}
			now = now.Add(c.later)
			stock := b.Stock("o", now)
			if c.forced {
				b.ForceGiveBack(token)
			} else {
				So(b.GiveBack("o", token, now), ShouldEqual, c.back)
			}
			if c.back {
				So(b.Stock("o", now), ShouldEqual, stock+1)
			}
			now = now.Add(400 * time.Millisecond)
			drain(h, b, check, now)
			So(check.Excess > 0, ShouldEqual, c.unsafe)
		})
	}
}
