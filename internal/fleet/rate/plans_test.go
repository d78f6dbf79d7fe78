package rate_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

func TestPlanListedLater(t *testing.T) {
	// Operators list an organisation while the fleet runs, or remove it and list it again. If its bucket were
	// filled for the time since the home started, it would get its whole burst each time that it is listed.
	first := lists.Organisation{Organisation: "a", Plan: "p", Rate: 1, Burst: 100}
	own := lists.Organisation{Organisation: "o", Plan: "p", Rate: 1, Burst: 100}
	cases := []struct {
		name     string
		plans    [][]lists.Organisation
		admitted int
	}{
		{"listed from the start", [][]lists.Organisation{{own, first}, {own, first}}, 58},
		{"listed after a minute", [][]lists.Organisation{{first}, {own, first}}, 0},
		{"removed for a minute", [][]lists.Organisation{{own, first}, {first}, {first, own}}, 0},
		{"removed", [][]lists.Organisation{{own, first}, {first}}, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			now := rates.Start
			home, borrower := startHome(c.plans[0], 1, now), startBorrower(c.plans[0], 1)
			for _, plans := range c.plans[1:] {
				now = now.Add(time.Minute)
				home.SetPlans(plans, now)
				borrower.SetPlans(plans)
			}
			So(spendAll(home, borrower, rates.NewChecker([]lists.Organisation{own}, now), now), ShouldEqual, c.admitted)
		})
	}
	Convey("an organisation that is removed is refused at once", t, func() {
		borrower := startBorrower([]lists.Organisation{own}, 1)
		_, outcome, _ := borrower.Spend("o", rates.Start)
		So(outcome, ShouldEqual, rate.Dry)
		borrower.SetPlans(nil)
		_, outcome, _ = borrower.Spend("o", rates.Start)
		So(outcome, ShouldEqual, rate.Refused)
	})
}
