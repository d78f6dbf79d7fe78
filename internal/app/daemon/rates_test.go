package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// Two of three regions are unreachable, and with them the homes of two thirds of an organisation's shards. If each search
// for a token tried them one after another, each would cost a connection attempt, and no time would be left for the
// homes that can reply.
func TestUnreachableHomes(t *testing.T) {
	home := rate.Member{Host: "away", Peer: loopback.Address()}
	newDaemon := func() *Daemon {
		d := unreachableHolderDaemon(home.Peer)
		d.rateLimiter = newRateLimiter(d)
		d.rateLimiter.borrower.SetList(1, []rate.Member{home})
		d.rateLimiter.borrower.SetPlans([]lists.Organisation{{Organisation: "dealer", Rate: 100, Burst: 100}})
		return d
	}
	requestLease := func(d *Daemon) time.Duration {
		ask, ok := d.rateLimiter.borrower.Urgent("dealer", home, 1, rate.Waiting, time.Now())
		So(ok, ShouldBeTrue)
		return d.rateLimiter.requestLease(context.Background(), ask)
	}
	Convey("A home that does not reply is reported as a host failure", t, func() {
		d := newDaemon()
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		So(requestLease(d), ShouldEqual, rate.UnsettledWait)
		So(d.rateLimiter.leaseRequests.Load(), ShouldEqual, 1)
		So(len(d.control.failures), ShouldEqual, 1)
	})
	Convey("A suspect is not asked, and is skipped for a while like a home that did not reply", t, func() {
		d := newDaemon()
		d.members.Store(suspectView(d, time.Now()))
		So(requestLease(d), ShouldEqual, rate.UnsettledWait)
		So(d.rateLimiter.leaseRequests.Load(), ShouldEqual, 0)
		_, ok := d.rateLimiter.borrower.Urgent("dealer", home, 1, rate.Waiting, time.Now())
		So(ok, ShouldBeFalse)
	})
}
