package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// noRoomRetryAfter is the Retry-After of a request for whose body there is no memory: large messages that pass have gone by then.
const noRoomRetryAfter = time.Second

// handleRun runs a request that another daemon hands over, unless this daemon is closed to peers.
//
// Other daemons learn of the shutdown within a heartbeat interval. A request that still arrives is refused in the same round trip and goes to
// another instance; if it ran here, it could outlast the process.
func (r *Router) handleRun(ctx context.Context, from netip.AddrPort, req runRequest) runResult {
	now := time.Now()
	active := r.active.begin(now)
	defer r.active.end(active)
	active.progress.Store(&progress{requestID: req.RequestID, route: req.Route, instance: req.Instance.ID, attempts: 1, since: now, run: true, sender: from.Addr()})
	if finishBy, ok := r.senderBounds.of(from.Addr(), now); ok && req.FinishIn == 0 {
		active.finishBy.set(finishBy)
	}
	if r.closedToPeers.Load() {
		return refusedResult(call.Refuse(call.Draining, noInstanceRetryAfter), r.executor.load())
	}
	if table := r.view.Load().Table; table != nil && !table.Allows(req.Route, req.Organisation, r.settings.Regions[r.settings.Zone]) {
		// The other daemon doesn't know the configuration in force yet.
		return refusedResult(call.Refuse(call.NoAllowedRegion, excludedRetryAfter), r.executor.load())
	}
	if req.hold == nil {
		hold, ok := r.account.TryTake(bounded.PeerRequest, int64(len(req.Body)))
		if !ok {
			return refusedResult(call.Refuse(call.NoRoom, noRoomRetryAfter), r.executor.load())
		}
		defer hold.Release()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	active.onEnd(cancel)
	req.finishBy, req.receiver = &active.finishBy, from.Addr()
	res := r.executor.run(ctx, &req)
	r.recordStatements(req.Instance, &res, time.Now())
	r.logFailedRun(&req, &res)
	return res
}
