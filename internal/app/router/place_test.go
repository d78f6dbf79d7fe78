package router

import (
	"encoding/binary"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/offers"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// newRouterBeside returns a router that isn't started and knows one service with so many instances.
func newRouterBeside(instances int) *Router {
	var hosts []netip.Addr
	for n := range instances {
		hosts = append(hosts, netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, 10<<24+uint32(n)))))
	}
	r := New(Settings{Zone: "a", Service: "s"}, fixedSource{}, signedHeads{}, telemetry.NewLog(io.Discard, logrus.InfoLevel))
	changes := zoneChanges(hosts, knownRevision)
	changes.Entries = append(changes.Entries, catalog.Entry{Revision: knownRevision, Config: &routing.Config{Version: 1}})
	r.control.catalog.Apply(changes, time.Now(), time.Now())
	r.control.publish()
	return r
}

// TestCandidatesOfLargeServices guards against a time and memory for each request that grow with the number of instances, and against requests
// that find no instance although there is one outside the sample.
func TestCandidatesOfLargeServices(t *testing.T) {
	const instances = 500
	req := &request{service: "s", route: &routing.Route{Name: "r"}}
	Convey("Of a small service, all instances are candidates", t, func() {
		So(newRouterBeside(30).candidatesFor(req, offers.New(1)), ShouldHaveLength, 30)
	})
	Convey("Of a large service", t, func() {
		r := newRouterBeside(instances)
		all := r.view.Load().InstancesOf("s")
		Convey("a sample is", func() {
			So(len(r.candidatesFor(req, offers.New(1))), ShouldBeLessThan, instances/10)
		})
		Convey("all are once the request was sent to one of them", func() {
			tracker := offers.New(3)
			tracker.Record(all[0].ID, choice.Refused, false)
			So(r.candidatesFor(req, tracker), ShouldHaveLength, instances)
		})
		Convey("the only one that is available is found", func() {
			r.reporter.unavailableHosts = map[netip.Addr]bool{}
			for _, inst := range all[1:] {
				r.reporter.unavailableHosts[inst.Address.Addr()] = true
			}
			So(r.candidatesFor(req, offers.New(1)), ShouldResemble, all[:1])
		})
		Convey("the only one that isn't about to end is found", func() {
			var leaving []routing.Incarnation
			for i := range all[1:] {
				leaving = append(leaving, all[1+i].Incarnation())
			}
			r.told.setReported(leaving)
			So(r.candidatesFor(req, offers.New(1)), ShouldResemble, all[:1])
		})
	})
}
