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

// unreachableHolderDaemon is the daemon of a service whose only holder of keys can't be reached.
func unreachableHolderDaemon(holder netip.AddrPort) *Daemon {
	d := singleHostDaemon(loopback.Address())
	d.peers = peer.New(loopback.Address(), peer.WithDialTimeout(time.Second))
	d.control = &control{failures: make(chan hostFailure, 1)}
	d.dedup = newDeduplicator(d)
	hosts := &lists.Hosts{Hosts: []lists.Host{{Host: "away", Service: "lookup", Region: "other", Peer: holder}}}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	return d
}

// suspectView returns a view in which the host that is away is a suspect since the given time.
func suspectView(d *Daemon, since time.Time) *member.View {
	table := member.New()
	table.SetHosts(d.view.Load().Hosts())
	table.Failed("away", since)
	table.Failed("away", since)
	return table.View(since)
}

func keyedRequest() admittedRequest {
	return admittedRequest{account: budget.New(8), request: call.Request{
		Organisation: "dealer", Operation: "lookup.book", Service: "lookup", IdempotencyKey: "k", Budget: 8, Deadline: time.Now().Add(time.Minute),
	}}
}

// Two regions have lost each other, and a key's holder is in the other one. It is nobody's neighbour here, so nobody but
// the requests for it can notice, and each would wait for it until its own time is up.
func TestUnreachableHolder(t *testing.T) {
	Convey("A request that its holder did not answer raises a doubt", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		answer := d.dedup.route(context.Background(), keyedRequest())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(len(d.control.failures), ShouldEqual, 1)
	})
	Convey("So does a daemon that is silent when it is asked for a key", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		d.dedup.observe(d.view.Load(), time.Now())
		So(d.dedup.recall(context.Background(), recallRequest{}, time.Now()), ShouldBeEmpty)
		So(len(d.control.failures), ShouldEqual, 1)
	})
	Convey("A suspect isn't asked for a key", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		d.dedup.observe(d.view.Load(), time.Now())
		d.members.Store(suspectView(d, time.Now()))
		So(d.dedup.recall(context.Background(), recallRequest{}, time.Now()), ShouldBeEmpty)
		So(d.control.failures, ShouldBeEmpty)
	})
	Convey("Requests for a suspect are refused at once, for as long as it has been away", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		d.members.Store(suspectView(d, time.Now().Add(-7*time.Second)))
		answer := d.dedup.route(context.Background(), keyedRequest())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(answer.Reason, ShouldEqual, call.NoUpstream)
		So(answer.RetryAfter, ShouldBeBetweenOrEqual, 7*time.Second, 10*time.Second)
		So(d.control.failures, ShouldBeEmpty)
	})
}
