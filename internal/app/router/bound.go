package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// finishBound tells another daemon that the runs for the sender's requests must have ended within the time: the sender began to shut down after it
// had handed them over, and those that still wait there mustn't begin if they would outlast it.
type finishBound struct {
	RequestIDs []string      `msgpack:"requestIds"`
	FinishIn   time.Duration `msgpack:"finishIn"`
}

// boundTimeout limits the wait for a daemon to confirm a bound.
const boundTimeout = 400 * time.Millisecond

// sendBounds tells the daemons to which requests were handed over before the order when their runs must have ended.
func (r *Router) sendBounds() {
	byHost := map[netip.Addr][]string{}
	for _, active := range r.active.list() {
		if p := active.progress.Load(); p != nil && !p.run && p.host.IsValid() && p.host != r.settings.Peers.Addr() {
			byHost[p.host] = append(byHost[p.host], p.requestID)
		}
	}
	for host, ids := range byHost {
		go r.sendBound(host, finishBound{RequestIDs: ids, FinishIn: r.finishIn(time.Now())})
	}
}

func (r *Router) sendBound(host netip.Addr, bound finishBound) {
	ctx, cancel := context.WithTimeout(context.Background(), boundTimeout)
	defer cancel()
	if _, err := peer.Call[finishBound, confirmation](ctx, r.peers, r.peerOf(host), peer.KindFinishBound, bound); err != nil {
		// A daemon of an earlier version doesn't know the message. Its runs end at the cutoff.
		r.log.WithError(err).WithField("host", host.String()).Debug("finish bound")
	}
}

// handleFinishBound bounds the runs for another daemon that is shutting down.
func (r *Router) handleFinishBound(_ context.Context, _ netip.AddrPort, bound finishBound) confirmation {
	finishBy := time.Now().Add(bound.FinishIn)
	bounded := make(map[string]bool, len(bound.RequestIDs))
	for _, id := range bound.RequestIDs {
		bounded[id] = true
	}
	for _, active := range r.active.list() {
		if p := active.progress.Load(); p != nil && p.run && bounded[p.requestID] {
			active.finishBy.Store(&finishBy)
		}
	}
	return confirmation{}
}
