package router

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

const (
	// heartbeatTimeout bounds the wait for a reply: enough for a round trip between availability zones and one lost packet.
	heartbeatTimeout = 400 * time.Millisecond
	// avoidTTL is how long a collector that did not reply is skipped.
	avoidTTL = 3 * time.Second
	// maxCollectorsTried is the maximum number of collectors that one heartbeat is sent to, in order, until one replies.
	maxCollectorsTried = 3
	// maxTriedInTurn is how many hosts can be tried one after the other before the first one is tried again.
	maxTriedInTurn = int(avoidTTL / heartbeatTimeout)
)

// sendToFirst sends the heartbeat to the first of the next usable hosts that replies, and returns which one it is.
func (r *reporter) sendToFirst(hb collect.Heartbeat, next func(count int) []netip.Addr, search *collect.Search) (netip.Addr, collect.Reply, bool) {
	for range maxCollectorsTried {
		hosts := next(1)
		if len(hosts) == 0 {
			break
		}
		if reply, ok := r.send(hosts[0], hb); ok {
			search.Found()
			return hosts[0], reply, true
		}
		if further := next(search.Failed()); len(further) > maxTriedInTurn {
			r.probe(further)
		}
	}
	return netip.Addr{}, collect.Reply{}, false
}

// probe finds out which of the hosts reply, all at the same time; the others are skipped for as long as the search may take.
func (r *reporter) probe(hosts []netip.Addr) {
	ctx, cancel := context.WithTimeout(r.ctx, heartbeatTimeout)
	defer cancel()
	ttl := avoidTTL
	if len(hosts) > collect.MinSearchWidth {
		ttl = collect.SearchTTL
	}
	var probes sync.WaitGroup
	var silent atomic.Int64
	for _, host := range hosts {
		if host == r.router.settings.Peers.Addr() {
			continue
		}
		probes.Go(func() {
			if _, err := peer.Call[struct{}, struct{}](ctx, r.router.peers, r.router.peerOf(host), peer.KindProbe, struct{}{}); err != nil {
				r.skip(host, ttl)
				silent.Add(1)
			}
		})
	}
	probes.Wait()
	if r.ctx.Err() == nil {
		r.router.log.WithFields(logrus.Fields{"hosts": len(hosts), "silent": silent.Load()}).Info("collectors probed")
	}
}

// send sends the heartbeat to the daemon on the host, which is skipped for a while if it doesn't reply.
func (r *reporter) send(host netip.Addr, hb collect.Heartbeat) (collect.Reply, bool) {
	if host == r.router.settings.Peers.Addr() {
		return r.handle(r.ctx, r.router.settings.Peers, hb), true
	}
	ctx, cancel := context.WithTimeout(r.ctx, heartbeatTimeout)
	defer cancel()
	reply, err := peer.Call[collect.Heartbeat, collect.Reply](ctx, r.router.peers, r.router.peerOf(host), peer.KindHeartbeat, hb)
	if err != nil {
		r.avoid(host, err)
	}
	return reply, err == nil
}

// usable returns a filter for hosts that can receive heartbeats: those that have not recently failed to reply.
func (r *reporter) usable(now time.Time) func(netip.Addr) bool {
	return func(host netip.Addr) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !now.Before(r.avoidedUntil[host])
	}
}

// avoid skips the host as a collector for avoidTTL, since it did not reply, and drops the last plan of another collector.
func (r *reporter) avoid(host netip.Addr, err error) {
	r.collector.DropPlan()
	r.skip(host, avoidTTL)
	if r.ctx.Err() == nil {
		r.router.log.WithError(err).WithField("host", host.String()).Info("collector lost")
	}
}

// skip skips the host as a collector for a while.
func (r *reporter) skip(host netip.Addr, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[host] = time.Now().Add(ttl)
}
