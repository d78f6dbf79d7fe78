package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

const (
	// maxDials is how often one request may dial the only host that can serve it.
	maxDials = 3
	// minRedialTime is the least time that must be left to dial again: 500 ms to connect, as much for the handshake, and the refusal's way back.
	minRedialTime = 1200 * time.Millisecond
)

// forward sends the request to the daemon on a host. It dials the host again if that is the only one that can serve the request, and
// accepted the connection but did not finish the handshake in time. The response must arrive by finishBy, unless that is zero.
//
// On a busy machine a ready daemon may take longer than the timeout of one handshake. That timeout is short so that requests go on to
// another host; where there is none, they would be refused with seconds left.
func (d *Daemon) forward(ctx context.Context, kind peer.Kind, host lists.Host, r *call.Request, finishBy time.Time, check keyCheck) (runResult, error) {
	ctx, cancel := d.ending.bound(ctx)
	defer cancel()
	for dials := 1; ; dials++ {
		if !finishBy.IsZero() && !time.Now().Before(finishBy) {
			return newRunResult(outlastsRefusal(r)), nil
		}
		reply, err := peer.Call[runRequest, runResult](ctx, d.peers, host.Peer, kind, newRunRequest(r, finishBy, time.Now()))
		if errors.Is(err, context.Canceled) && endedByCutoff(ctx) {
			return reply, peer.ErrLost
		}
		if !errors.Is(err, peer.ErrNoHandshake) || dials == maxDials || !d.mayRedial(kind, host.Host, r) {
			return reply, err
		}
		if check.run(ctx) != call.None {
			return reply, err
		}
		d.reportFailure(hostFailure{host: host.Host})
	}
}

// mayRedial reports whether the host is the only one that can serve the request, answered lately, and enough time is left.
func (d *Daemon) mayRedial(kind peer.Kind, host string, r *call.Request) bool {
	only := kind == peer.KindRunOnce || len(d.candidates(r.Service)) == 1
	return only && !d.members.Load().Suspect(host) && r.Remaining(time.Now()) >= minRedialTime
}
