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

// unreachableHolderDaemon returns a daemon whose service has a single key holder, host "away", which can't be reached.
func unreachableHolderDaemon(holder netip.AddrPort) *Daemon {
	d := singleHostDaemon(loopback.Address())
	d.peers = peer.New(loopback.Address(), peer.WithDialTimeout(time.Second))
	d.control = &control{failures: make(chan hostFailure, 1)}
	d.dedup = newDeduplicator(d)
	hosts := &lists.Hosts{Hosts: []lists.Host{{Host: "away", Service: "lookup", Region: "other", Peer: holder}}}
	d.view.Store(lists.NewView([lists.Kinds]uint64{1, 1, 1, 1}, nil, nil, nil, hosts))
	return d
}

// suspectView returns a view in which host "away" has been a suspect since the given time.
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

// Two regions are partitioned, and a key's holder is in the other one. No daemon here exchanges digests with it, so only
// the requests for it can detect the failure; otherwise each of them would wait until its own deadline.
func TestUnreachableHolder(t *testing.T) {
	Convey("A request without a reply from its holder reports a host failure", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		answer := d.dedup.route(context.Background(), keyedRequest())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(len(d.control.failures), ShouldEqual, 1)
	})
	Convey("A recall request without a reply reports a host failure", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		So(d.peers.Start(), ShouldBeNil)
		defer d.peers.Stop()
		d.dedup.observe(d.view.Load(), time.Now())
		So(d.dedup.recall(context.Background(), recallRequest{}, time.Now()), ShouldBeEmpty)
		So(len(d.control.failures), ShouldEqual, 1)
	})
	Convey("A suspect gets no recall request", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		d.dedup.observe(d.view.Load(), time.Now())
		d.members.Store(suspectView(d, time.Now()))
		So(d.dedup.recall(context.Background(), recallRequest{}, time.Now()), ShouldBeEmpty)
		So(d.control.failures, ShouldBeEmpty)
	})
	Convey("Requests for a suspect are refused at once, with a Retry-After delay as long as it has been unreachable", t, func() {
		d := unreachableHolderDaemon(loopback.Address())
		d.members.Store(suspectView(d, time.Now().Add(-7*time.Second)))
		answer := d.dedup.route(context.Background(), keyedRequest())
		So(answer.Outcome, ShouldEqual, call.NotRun)
		So(answer.Reason, ShouldEqual, call.NoUpstream)
		So(answer.RetryAfter, ShouldBeBetweenOrEqual, 7*time.Second, 10*time.Second)
		So(d.control.failures, ShouldBeEmpty)
	})
}
