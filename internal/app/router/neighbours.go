package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// statedState is what a collector states to have: the version of its configuration and the revision of its instances.
type statedState struct {
	version  uint64
	revision uint64
}

// reachedBy reports whether the view has at least the stated state.
func (s statedState) reachedBy(view *catalog.View) bool {
	return version(view) >= s.version && view.Revision >= s.revision
}

const (
	// neighbourTimeout bounds all requests to neighbours before one fetch from the collector. Within a zone, a reply takes a few milliseconds.
	neighbourTimeout = 100 * time.Millisecond
	// maxNeighboursAsked is the maximum number of neighbours asked for one fetch. While a change spreads, half of the daemons have it on
	// average, and a second neighbour often does where the first one doesn't.
	maxNeighboursAsked = 2
	// slowNeighbourTTL is how long a neighbour that did not reply in time is skipped, so that one that is suspended doesn't delay each fetch.
	slowNeighbourTTL = 3 * time.Second
)

// fetchStated fetches what a collector states to have. If the collector is in another zone, neighbours in this daemon's zone are asked first,
// and the collector at once if none has it.
func (r *reporter) fetchStated(collector netip.Addr, stated statedState) {
	if r.fetchFromNeighbours(collector, stated) {
		return
	}
	r.router.control.fetch(r.router.peerOf(collector))
}

// fetchFromNeighbours returns true if this daemon has the stated state after asking its neighbours.
func (r *reporter) fetchFromNeighbours(collector netip.Addr, stated statedState) bool {
	neighbours := r.neighbours(collector, time.Now())
	if len(neighbours) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, neighbourTimeout)
	defer cancel()
	for _, host := range neighbours {
		if ctx.Err() != nil {
			return false
		}
		if r.fetchFromNeighbour(ctx, host, stated) {
			return true
		}
	}
	return false
}

func (r *reporter) fetchFromNeighbour(ctx context.Context, host netip.Addr, stated statedState) bool {
	control := r.router.control
	reply, ok := control.requestChanges(ctx, r.router.peerOf(host), forChanges)
	if !ok {
		r.markSlow(host)
		return false
	}
	if reply.Changes.Revision < stated.revision {
		return false
	}
	control.applyChanges(reply.Changes, host.String())
	return stated.reachedBy(r.router.view.Load())
}

// neighbours returns the daemons in this zone that are asked before a collector in another zone; none if the collector is in this zone.
func (r *reporter) neighbours(collector netip.Addr, now time.Time) []netip.Addr {
	topology, self := r.topology(), r.router.settings.Peers.Addr()
	zone := topology.Zone(self)
	if r.router.settings.Without.Has(mechanism.ZoneFetches) || zone == "" || topology.Zone(collector) == zone {
		return nil
	}
	return topology.Neighbours(self, zone, maxNeighboursAsked, func(host netip.Addr) bool { return r.isResponsive(host, now) })
}

// isResponsive reports whether the host is expected to reply to a fetch in time.
func (r *reporter) isResponsive(host netip.Addr, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.unavailableHosts[host] && !now.Before(r.slowUntil[host])
}

func (r *reporter) markSlow(host netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowUntil[host] = time.Now().Add(slowNeighbourTTL)
}

// placeOf returns the place of another daemon's host as of the last topology.
func (r *Router) placeOf(host netip.Addr) peer.Place {
	topology := r.reporter.cachedTopology.Load()
	if topology == nil {
		return peer.UnknownPlace
	}
	return peer.PlaceOf(topology.Zone(host), r.settings.Zone)
}
