package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// statingHeads reads what an instance states from the headers Limit and Signature.
type statingHeads struct{ coldHeads }

func (statingHeads) Answer(_ int, h http.Header) InstanceHead {
	head := InstanceHead{Authentic: h.Get("Signature") != ""}
	if raw := h.Get("Limit"); raw != "" {
		perSecond, err := strconv.ParseFloat(raw, 64)
		head.RateLimit = RateLimit{Stated: err == nil, PerSecond: perSecond}
		if err != nil {
			head.RateLimit.Fault = raw
		}
	}
	return head
}

func (statingHeads) Unread(http.Header) []string { return nil }

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
			{"told of its predecessor", func(s *statements) {
				s.observe(successor, "r", 200, signed(""))
				s.replaced(successor)
				s.adopt(successor, "r", RateLimit{})
			}, unlimited},
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
	Convey("A daemon knows the limits of the listed instances until it is told otherwise", t, func() {
		told, limited := newToldStatements(), routing.Instance{ID: "i"}
		limit := RateLimit{Stated: true, PerSecond: 5}
		told.record(limited.Incarnation(), limit)
		told.record(routing.Incarnation{ID: "gone"}, limit)
		told.retain([]routing.Instance{limited})
		So(told.limit(limited.Incarnation()), ShouldResemble, limit)
		So(told.limit(routing.Incarnation{ID: "gone"}).Stated, ShouldBeFalse)
		told.record(limited.Incarnation(), RateLimit{})
		So(told.limit(limited.Incarnation()).Stated, ShouldBeFalse)
	})
}
