package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// statingHeads reads what an instance states from the headers Limit, Leaving and Signature.
type statingHeads struct{ coldHeads }

func (statingHeads) Answer(_ int, h http.Header) InstanceHead {
	head := InstanceHead{Authentic: h.Get("Signature") != "", Leaving: h.Get("Leaving") != ""}
	if raw := h.Get("Limit"); raw != "" {
		perSecond, err := strconv.ParseFloat(raw, 64)
		head.RateLimit = RateLimit{Stated: err == nil, PerSecond: perSecond}
		if err != nil {
			head.RateLimit.Fault = raw
		}
	}
	return head
}

// TestStatedLimit guards against a limit that an instance states and that is missed, kept after it has ended, or taken from another instance.
func TestStatedLimit(t *testing.T) {
	instance, successor := routing.Incarnation{ID: "i", Born: time.Unix(1, 0)}, routing.Incarnation{ID: "i", Born: time.Unix(2, 0)}
	signed := func(limit string) http.Header { return http.Header{"Signature": {"s"}, "Limit": {limit}} }
	const unlimited = 0
	Convey("The newest response decides", t, func() {
		for _, c := range []struct {
			name string
			tell func(s *statements)
			want float64
		}{
			{"a response without a limit", func(s *statements) { s.observe(instance, "r", 200, signed("")) }, unlimited},
			{"a limit", func(s *statements) { s.observe(instance, "r", 200, signed("5")) }, 5},
			{"a limit below one", func(s *statements) { s.observe(instance, "r", 200, signed("0.5")) }, 0.5},
			{"in a failure", func(s *statements) { s.observe(instance, "r", 500, signed("5")) }, 5},
			{"in a response that declines the request", func(s *statements) { s.observe(instance, "r", 503, http.Header{"Limit": {"5"}}) }, 5},
			{"of another instance", func(s *statements) { s.observe(instance, "r", http.StatusMisdirectedRequest, signed("5")) }, unlimited},
			{"lowered, then raised", func(s *statements) {
				for _, limit := range []string{"5", "2", "8"} {
					s.observe(instance, "r", 200, signed(limit))
				}
			}, 8},
			{"ended", func(s *statements) {
				s.observe(instance, "r", 200, signed("5"))
				s.observe(instance, "r", 200, signed(""))
			}, unlimited},
			{"a response without signature doesn't end it", func(s *statements) {
				s.observe(instance, "r", 200, signed("5"))
				s.observe(instance, "r", 503, http.Header{})
			}, 5},
			{"one that can't be read doesn't either", func(s *statements) {
				s.observe(instance, "r", 200, signed("5"))
				s.observe(instance, "r", 200, signed("few"))
			}, 5},
			{"a successor of the instance isn't bound", func(s *statements) {
				s.observe(instance, "r", 200, signed("5"))
				s.replaced(successor)
			}, unlimited},
			{"told to a daemon that has restarted", func(s *statements) { s.adopt(instance, "r", RateLimit{Stated: true, PerSecond: 5}) }, 5},
			{"told when the instance itself says otherwise", func(s *statements) {
				s.observe(instance, "r", 200, signed(""))
				s.adopt(instance, "r", RateLimit{Stated: true, PerSecond: 5})
			}, unlimited},
			{"told of its predecessor by a daemon with an old list", func(s *statements) {
				s.observe(successor, "r", 200, signed("5"))
				s.adopt(instance, "r", RateLimit{Stated: true, PerSecond: 9})
			}, 5},
		} {
			Convey(c.name, func() {
				e := newTestExecutor(Settings{})
				defer e.stop()
				e.stated.heads = statingHeads{}
				c.tell(e.stated)
				interval := e.warmUp.pacer.Interval(time.Now())
				if c.want == unlimited {
					So(interval, ShouldEqual, 0)
					return
				}
				So(interval, ShouldEqual, time.Duration(float64(time.Second)/c.want))
			})
		}
	})
	// Guards against a fleet that admits as much as before while instances take a fraction of it.
	Convey("A limited instance reports the slots that its limit can fill", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		e.stated.heads = statingHeads{}
		local := serving(routing.Instance{ID: "i", Slots: 20, Born: instance.Born})
		local.service = routing.Service{}
		e.apply(local)
		service, _ := e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 19)
		e.stated.observe(instance, "r", 200, signed("5"))
		service, _ = e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 1)
	})
}

func TestToldStatements(t *testing.T) {
	// Guards against a daemon that restarts beside a limited instance, forgets the limit, and lets through all that waits for it.
	now := time.Unix(1000, 0)
	Convey("A daemon knows the limits of the listed instances until it is told otherwise", t, func() {
		told, limited := newToldStatements(), routing.Instance{ID: "i"}
		limit := RateLimit{Stated: true, PerSecond: 5}
		told.record(limited.Incarnation(), &runResult{RateLimit: limit}, now)
		told.record(routing.Incarnation{ID: "gone"}, &runResult{RateLimit: limit}, now)
		told.retain([]routing.Instance{limited})
		So(told.limit(limited.Incarnation()), ShouldResemble, limit)
		So(told.limit(routing.Incarnation{ID: "gone"}).Stated, ShouldBeFalse)
		told.record(limited.Incarnation(), &runResult{}, now)
		So(told.limit(limited.Incarnation()).Stated, ShouldBeFalse)
	})
	// Guards against requests to an instance that has said that it leaves, because its daemon has restarted or its entry is away for a while.
	Convey("A daemon that was told that an instance leaves never sends it a request again, whatever is listed", t, func() {
		told := newToldStatements()
		leaving, staying := routing.Instance{ID: "i", Born: time.Unix(1, 0)}, routing.Instance{ID: "j"}
		restarted := routing.Instance{ID: "i", Born: time.Unix(2, 0)}
		So(told.record(leaving.Incarnation(), &runResult{InstanceLeaving: true}, now), ShouldBeTrue)
		So(told.record(leaving.Incarnation(), &runResult{}, now), ShouldBeFalse)
		told.retain(nil)
		So(told.staying([]routing.Instance{leaving, staying}), ShouldResemble, []routing.Instance{staying})
		So(told.staying([]routing.Instance{restarted, staying}), ShouldResemble, []routing.Instance{restarted, staying})
	})
	Convey("What the collector names counts as long as it names it", t, func() {
		told, instance := newToldStatements(), routing.Instance{ID: "i"}
		told.setReported([]routing.Incarnation{instance.Incarnation()})
		So(told.staying([]routing.Instance{instance}), ShouldBeEmpty)
		told.setReported(nil)
		So(told.staying([]routing.Instance{instance}), ShouldResemble, []routing.Instance{instance})
	})
}

// TestLeavingStatement guards against requests that wait in the queue of an instance, or come from daemons that haven't heard, long after the
// instance has said that it leaves.
func TestLeavingStatement(t *testing.T) {
	instance := routing.Incarnation{ID: "i", Born: time.Unix(1, 0)}
	Convey("The daemon beside an instance that leaves refuses requests for it after half of the drain time, and reports no slots at once", t, func() {
		e := newTestExecutor(Settings{DrainTime: 2 * time.Second})
		defer e.stop()
		e.stated.heads = statingHeads{}
		local := serving(routing.Instance{ID: "i", Slots: 20, Born: instance.Born})
		local.service = routing.Service{}
		e.apply(local)
		e.stated.observe(instance, "r", 200, http.Header{"Leaving": {"1"}})
		service, _ := e.report(false, time.Now())
		So(service.Slots, ShouldEqual, 0)
		later := time.Now().Add(1100 * time.Millisecond)
		So(e.closedTo(&runRequest{Instance: instance}, time.Now()), ShouldEqual, call.None)
		So(e.closedTo(&runRequest{Instance: instance}, later), ShouldEqual, call.NoUpstream)
		So(e.closedTo(&runRequest{Instance: routing.Incarnation{ID: "j"}}, later), ShouldEqual, call.None)
	})
	Convey("A health check says so as well", t, func() {
		e := newTestExecutor(Settings{})
		defer e.stop()
		e.stated.heads = statingHeads{}
		e.apply(serving(routing.Instance{ID: "i", Slots: 20, Born: instance.Born}))
		e.warmUp.Checked(time.Now(), 200, http.Header{"Leaving": {"1"}, "Limit": {"5"}})
		_, leaving := e.stated.leavingFor(instance, time.Now())
		So(leaving, ShouldBeTrue)
		So(e.stated.rateLimit(instance).PerSecond, ShouldEqual, 5)
	})
}
