package router

import (
	"net/http"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// localState is what is published about this host and its instance.
type localState struct {
	instance routing.Instance
	// known means that the instance is published.
	known bool
	// zoneDrained means that the operator has drained this host's availability zone.
	zoneDrained bool
	// service has the settings of the instance's service, configured means that there is a configuration.
	service    routing.Service
	configured bool
	// table has the routes' targets; nil if there is no configuration.
	table *routing.Table
}

// apply applies what is published about this host.
func (e *executor) apply(local localState) {
	if local.configured {
		e.warmUp.configure(local.service)
	}
	drainedBefore, drainingBefore := e.closing()
	gate := e.currentGate()
	before := e.published()
	restored, replaced := e.update(local)
	if gate != e.currentGate() {
		e.refuseWaitingAt(gate, replacedReason(replaced))
	}
	if drained, draining := e.closing(); drained && !drainedBefore {
		e.refuseWaiting(call.ZoneDrained)
	} else if draining && !drainingBefore {
		e.refuseWaiting(call.NoUpstream)
	}
	if local.known && local.instance.Incarnation() != before {
		e.onPublished()
	}
	if restored {
		// The operator may have restarted the instances of the zone, or emptied their caches.
		e.warmUp.suspect("zone restored")
	} else if replaced {
		e.warmUp.suspect("new incarnation published")
	}
	if local.known {
		e.stated.replaced(local.instance.Incarnation())
		e.warmUp.publish(local.instance.ColdUntil)
	}
}

// published returns the incarnation that is published on this host, or zero if none is.
func (e *executor) published() routing.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return routing.Incarnation{}
	}
	return e.current.Incarnation()
}

// update replaces the state, and reports whether the zone was drained before and whether the instance was another incarnation. A new incarnation
// starts with an empty gate.
func (e *executor) update(local localState) (restored, replaced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	restored = e.zoneDrained && !local.zoneDrained
	replaced = e.known && local.known && e.current.Incarnation() != local.instance.Incarnation()
	e.zoneDrained, e.configured, e.table = local.zoneDrained, local.configured, local.table
	if !local.known {
		if e.known && e.drainingSince.IsZero() {
			// An instance that leaves may have its entry removed without reporting that it drains.
			e.drainingSince = time.Now()
		}
		e.known = false
		return restored, replaced
	}
	e.setInstance(local.instance)
	return restored, replaced
}

// replacedReason returns why requests can't wait at a gate that another one has replaced: for a new incarnation, or another number of slots. Nothing
// else would end these waits when the instance begins to leave.
func replacedReason(newIncarnation bool) call.Reason {
	if newIncarnation {
		return call.NoUpstream
	}
	return call.Overloaded
}

// closing reports whether the zone is drained and whether the instance is published as draining or no longer published.
func (e *executor) closing() (zoneDrained, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zoneDrained, !e.drainingSince.IsZero()
}

func (e *executor) setInstance(inst routing.Instance) {
	switch {
	case !inst.Draining:
		e.drainingSince = time.Time{}
	case e.drainingSince.IsZero():
		e.drainingSince = time.Now()
	}
	if !e.known || e.current.Incarnation() != inst.Incarnation() || e.current.Slots != inst.Slots {
		e.gate = e.newGate(max(inst.Slots, 1))
	}
	e.current, e.known = inst, true
}

// closed returns why the instance must receive no new requests, or call.None: it isn't known yet what it tolerates, its availability zone is
// drained, it accepts no connections, or it has been draining for a while. Requests that were sent before other daemons knew, or that waited
// in the queue, would still reach it.
func (e *executor) closed(now time.Time) call.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.configured:
		return call.NotReady
	case e.zoneDrained:
		return call.ZoneDrained
	case e.warmUp.down.Load():
		return call.NoUpstream
	case !e.drainingSince.IsZero() && now.Sub(e.drainingSince) > e.drainTime/2:
		return call.NoUpstream
	default:
		return call.None
	}
}

// closedTo returns why the request must not reach the instance, or call.None: the instance must receive no new requests, or its responses have
// said for a while that it is about to end.
func (e *executor) closedTo(req *runRequest, now time.Time) call.Reason {
	if reason := e.closed(now); reason != call.None {
		return reason
	}
	if since, leaving := e.stated.leavingFor(req.Instance, now); leaving && since > e.drainTime/2 {
		return call.NoUpstream
	}
	return call.None
}

// observeCheck records what the response to a health check states. Without a signature it ends no limit.
func (e *executor) observeCheck(status int, header http.Header) {
	e.mu.Lock()
	current, known := e.current, e.known
	e.mu.Unlock()
	id := e.heads.Answer(status, header).InstanceID
	if known && (id == "" || id == current.ID) {
		e.observe(current.Incarnation(), "health check", status, header)
	}
}
