package rate_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// A request takes a token and is then refused by an overloaded service. If the token were
// lost, the organisation would be refused for its rate while within it; if it were given back
// after its home has counted it as spent, the organisation would get more than its burst.
func TestGiveBack(t *testing.T) {
	plans := []lists.Organisation{{Organisation: "o", Plan: "p", Rate: 10, Burst: 10}}
	cases := []struct {
		name     string
		reported bool
		delay    time.Duration
		forced   bool
		returned bool
		unsafe   bool
	}{
		{name: "at once", returned: true},
		{name: "after a lease request to its home", reported: true},
		{name: "after its loan has expired", delay: 2 * time.Second},
		{name: "forced, after a lease request to its home", reported: true, forced: true, returned: true, unsafe: true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			now := rates.Start
			check := rates.NewChecker(plans, now)
			h, b := startHome(plans, 1, now), startBorrower(plans, 1)
			now = now.Add(time.Minute)
			ask, _ := b.Urgent("o", soleMember, 1, rate.Waiting, now)
			b.Hear(soleMember, h.AnswerLease(ask.Message, now), now, now)
			token, ok := b.Take("o", now)
			So(ok, ShouldBeTrue)
			if c.reported {
				ask, _ := b.Urgent("o", soleMember, 2, rate.Waiting, now)
				b.Hear(soleMember, h.AnswerLease(ask.Message, now), now, now)
			}
			now = now.Add(c.delay)
			stock := b.Stock("o", now)
			if c.forced {
				b.ForceGiveBack(token)
			} else {
				So(b.GiveBack("o", token, now), ShouldEqual, c.returned)
			}
			if c.returned {
				So(b.Stock("o", now), ShouldEqual, stock+1)
			}
			now = now.Add(400 * time.Millisecond)
			spendAll(h, b, check, now)
			So(check.Excess > 0, ShouldEqual, c.unsafe)
		})
	}
}
