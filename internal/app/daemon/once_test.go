package daemon

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// awayDaemon is the daemon of a service whose only holder of keys can't be reached.
func awayDaemon(holder netip.AddrPort) *Daemon {
	d := loneDaemon(loopback.Address())
	d.peers = peer.New(loopback.Address(), peer.WithDialTimeout(time.Second))
	d.control = &control{doubts: make(chan doubt, 1)}
	d.repeats = newRepeats(d)
	hosts := &lists.Hosts{Hosts: []lists.Host{{Host: "away", Service: "lookup", Region: "other", Peer: holder}}}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	return d
}

func booking() admitted {
	return admitted{account: budget.New(8), request: call.Request{
		Organisation: "dealer", Operation: "lookup.book", Service: "lookup", IdempotencyKey: "k", Budget: 8, Deadline: time.Now().Add(time.Minute),
	}}
}

// Two regions have lost each other, and a key's holder is in the other one. It is nobody's neighbour here, so nobody but
// the requests for it can notice, and each would wait for it until its own time is up.
func TestHolderThatCannotBeReached(t *testing.T) {
	Convey("A request that its holder did not answer raises a doubt", t, func() {
		d := awayDaemon(loopback.Address())
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		answer := d.repeats.route(context.Background(), booking())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(len(d.control.doubts), ShouldEqual, 1)
	})
	Convey("Requests for a suspect are refused at once, for as long as it has been away", t, func() {
		d := awayDaemon(loopback.Address())
		table, now := member.New(), time.Now()
		table.SetHosts(d.view.Load().Hosts())
		table.Failed("away", now.Add(-7*time.Second))
		table.Failed("away", now.Add(-7*time.Second))
		d.members.Store(table.View(now))
		answer := d.repeats.route(context.Background(), booking())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(answer.Reason, ShouldEqual, call.NoUpstream)
		So(answer.RetryAfter, ShouldBeBetweenOrEqual, 7*time.Second, 10*time.Second)
		So(d.control.doubts, ShouldBeEmpty)
	})
}
