package rate_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/bench/rates"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

var soleMember = rate.Member{Host: "only", Peer: netip.MustParseAddrPort("127.0.0.1:7001")}

func startHome(plans []lists.Organisation, incarnation uint64, now time.Time) *rate.Home {
	h := rate.NewHome(soleMember, incarnation, rate.DefaultLimits(), now)
	h.SetPlans(plans, now)
	h.SetList(1, []rate.Member{soleMember}, now)
	return h
}

func startBorrower(plans []lists.Organisation, incarnation uint64) *rate.Borrower {
	b := rate.NewBorrower("only", incarnation, rate.DefaultLimits())
	b.SetPlans(plans)
	b.SetList(1, []rate.Member{soleMember})
	return b
}

// spendAll spends all tokens that a home lends at one moment and returns their number.
func spendAll(h *rate.Home, b *rate.Borrower, c *rates.Checker, now time.Time) (admitted int) {
	const waiting = 1000
	if ask, ok := b.Urgent("o", soleMember, waiting, rate.Waiting, now); ok {
		b.Hear(ask.Home, h.AnswerLease(ask.Message, now), now, now)
	}
	for {
		if _, ok := b.Take("o", now); !ok {
			return admitted
		}
		c.Admit("o", now)
		admitted++
	}
}

// A daemon is killed right after an organisation has spent its burst, and restarts
// at the same address. With a full bucket it would grant the burst twice.
func TestRestartStartsEmpty(t *testing.T) {
	plans := []lists.Organisation{{Organisation: "o", Plan: "p", Rate: 1, Burst: 100}}
	cases := []struct {
		name string
		full bool
	}{
		{"with an empty bucket", false},
		{"with a full bucket", true},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			now := rates.Start
			check := rates.NewChecker(plans, now)
			first := startHome(plans, 1, now)
			now = now.Add(3 * time.Minute)
			So(spendAll(first, startBorrower(plans, 1), check, now), ShouldEqual, 100)
			second := startHome(plans, 2, now)
			b := startBorrower(plans, 2)
			So(spendAll(second, b, check, now), ShouldEqual, 0)
			now = now.Add(3 * time.Second)
			spendAll(second, b, check, now)
			if c.full {
				second.FillBuckets()
				spendAll(second, b, check, now)
			}
			So(check.Excess > 0, ShouldEqual, c.full)
		})
	}
}

func manyPlans(count int) []lists.Organisation {
	plans := make([]lists.Organisation, count)
	for i := range plans {
		plans[i] = lists.Organisation{Organisation: fmt.Sprintf("organisation-%d", i), Plan: "p", Rate: 1000, Burst: 1000}
	}
	return plans
}

func BenchmarkSpend(b *testing.B) {
	for _, count := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("organisations=%d", count), func(b *testing.B) {
			plans := manyPlans(count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			now := rates.Start
			home, borrower := startHome(plans, 1, now), startBorrower(plans, 1)
			now = now.Add(10 * time.Second)
			for _, o := range plans {
				ask, _ := borrower.Urgent(o.Organisation, soleMember, 900, rate.Waiting, now)
				borrower.Hear(ask.Home, home.AnswerLease(ask.Message, now), now, now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				borrower.Spend(plans[i%count].Organisation, now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/organisation")
			runtime.KeepAlive(home)
		})
	}
}
