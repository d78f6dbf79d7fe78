package budget

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDraw(t *testing.T) {
	cases := []struct {
		name  string
		left  int
		need  int
		runs  int
		after int
	}{
		{"takes twice the need where there are enough spare runs", 32, 4, 8, 24},
		{"takes part of a few spare runs", 8, 4, 7, 1},
		{"makes no sub-calls, so it has no retries below it", 32, 1, 1, 31},
		{"a deep chain gets all runs", 16, 16, 16, 0},
		{"what is left may be less than the need", 2, 4, 2, 0},
	}
	Convey("An attempt draws its need and some of the spare runs", t, func() {
		for _, c := range cases {
			a := New(c.left)
			runs, wait := a.Draw(c.need)
			So(runs, ShouldEqual, c.runs)
			So(wait, ShouldBeNil)
			So(a.Left(), ShouldEqual, c.after)
		}
	})
	Convey("A spent account gives nothing", t, func() {
		runs, wait := New(0).Draw(1)
		So(runs, ShouldEqual, 0)
		So(wait, ShouldBeNil)
	})
	Convey("An answered attempt returns what it did not use, and never more than it drew", t, func() {
		a := New(8)
		runs, _ := a.Draw(8)
		a.Settle(runs, 5)
		So(a.Left(), ShouldEqual, 5)
		runs, _ = a.Draw(5)
		a.Settle(runs, 100)
		So(a.Left(), ShouldEqual, 5)
	})
}

// Guards against a failure with budget left: an upstream makes five sub-calls at once, the first takes all runs in case its chain is
// deep, and the other four are refused.
func TestSiblingsWaitForEachOther(t *testing.T) {
	Convey("A concurrent sub-call that finds too few runs waits until some are returned", t, func() {
		a := New(10)
		first, _ := a.Draw(10)
		So(first, ShouldEqual, 10)
		runs, wait := a.Draw(2)
		So(runs, ShouldEqual, 0)
		So(wait, ShouldNotBeNil)
		a.Settle(first, 9)
		<-wait
		runs, _ = a.Draw(2)
		So(runs, ShouldEqual, 4)
	})
	Convey("Once the need is known, concurrent sub-calls draw without waiting", t, func() {
		n, a := NewNeeds(), New(10)
		n.Learn("leaf", 10, 1, true)
		for range 5 {
			runs, _ := a.Draw(n.Expect("leaf", 1))
			So(runs, ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against runs that are spent twice: an upstream responds while one of its own sub-calls is still being retried, and the unused
// runs go back with the response. If the retry drew them as well, a service deep in the chain would see more runs than the budget allows.
func TestClosedAccountGivesNothing(t *testing.T) {
	Convey("Nothing can be drawn from, or returned to, a closed account", t, func() {
		a := New(10)
		runs, _ := a.Draw(2)
		So(a.Close(), ShouldEqual, 10-runs)
		a.Settle(runs, runs)
		So(a.Left(), ShouldEqual, 0)
		second, wait := a.Draw(1)
		So(second, ShouldEqual, 0)
		So(wait, ShouldBeNil)
	})
}

func TestNeeds(t *testing.T) {
	Convey("An unknown operation is assumed to have a chain of the maximum depth", t, func() {
		n := NewNeeds()
		So(n.Expect("op", 0), ShouldEqual, MaxDepth)
		So(n.Expect("op", MaxDepth-1), ShouldEqual, 1)
		So(n.Expect("op", 2*MaxDepth), ShouldEqual, 1)
	})
	Convey("A need rises fast and falls slowly, and failures that left runs over don't change it", t, func() {
		n := NewNeeds()
		n.Learn("op", 10, 2, true)
		n.Learn("op", 10, 6, true)
		So(n.Expect("op", 0), ShouldEqual, 4)
		n.Learn("op", 10, 2, true)
		So(n.Expect("op", 0), ShouldEqual, 4)
		n.Learn("op", 10, 1, false)
		So(n.Expect("op", 0), ShouldEqual, 4)
		n.Learn("op", 4, 4, false)
		So(n.Expect("op", 0), ShouldEqual, 8)
	})
}

// Guards against a learned need that stays one too high after an operation needed one run more for a while: concurrent sub-calls would
// draw more than they use, the last would wait for the first, and the services above would hold their slots for twice as long, so that
// callers are refused by a fleet with free slots.
func TestNeedFallsBack(t *testing.T) {
	cases := []struct{ used, after, calls int }{{3, 24, 200}, {1, 2, 100}, {16, 32, 200}}
	for _, c := range cases {
		Convey(fmt.Sprintf("A need of %d that rose to %d is %d again after %d calls", c.used, c.after, c.used, c.calls), t, func() {
			n := NewNeeds()
			n.Learn("op", c.after, c.after, true)
			for range c.calls {
				n.Learn("op", c.after, c.used, true)
			}
			So(n.Expect("op", 0), ShouldEqual, c.used)
		})
	}
}

// Guards against a first sub-call that takes spare runs as if it were the only one: an upstream makes four sub-calls concurrently, each
// needs three runs, and twelve are left. The last would wait until the first returns, and the caller twice as long.
func TestConcurrentCalls(t *testing.T) {
	cases := []struct {
		runs, expected, calls, need int
		draws                       []int
	}{
		{12, 12, 4, 3, []int{3, 3, 3, 3}},
		{20, 12, 4, 3, []int{4, 4, 5, 6}},
		{27, 12, 4, 3, []int{5, 6, 6, 6}},
		{20, 16, 1, 16, []int{19}},
		// The need of the sub-calls is unknown, or higher than expected.
		{12, 0, 1, 3, []int{6}},
		{12, 3, 2, 3, []int{6, 5}},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("%d runs, %d expected, sub-calls of %d", c.runs, c.expected, c.need), t, func() {
			a := NewFor(c.runs, c.expected)
			for _, want := range c.draws {
				runs, wait := a.Draw(c.need)
				So(wait, ShouldBeNil)
				So(runs, ShouldEqual, want)
			}
		})
	}
}
