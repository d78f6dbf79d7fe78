package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// takeRun runs what another daemon hands on, unless this one is about to end.
//
// Others hear of it within a beat, so what still comes is answered in the same round trip and goes to another
// instance; run here, it could last longer than the process.
func (r *Router) takeRun(ctx context.Context, _ netip.AddrPort, m runRequest) runResult {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.closed.Load() {
		return refused(call.Refuse(call.Draining, noInstanceWait), r.owner.load())
	}
	release, ok := r.callers.Hold(len(m.Body))
	if !ok {
		return refused(call.Refuse(call.Overloaded, time.Second), r.owner.load())
	}
	defer release()
	out := r.owner.run(ctx, &m)
	r.concludeRun(&m, &out)
	return out
}
