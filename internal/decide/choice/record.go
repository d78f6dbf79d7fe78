package choice

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// record holds a daemon's observations of one incarnation of an instance.
type record struct {
	// id and born identify the incarnation. next is the record of another incarnation under the same ID, nil if there is none.
	id   string
	born time.Time
	next *record
	// outstanding is the number of this daemon's requests to the instance that have not ended.
	outstanding int
	// load is the latest load reported by the instance's host; otherRequests is that load without this daemon's own requests.
	load          call.Load
	otherRequests int
	loadUpdated   time.Time
	// latency is the smoothed time of a served request in seconds; 0 means unknown.
	latency float64
	// pickedAt is when the instance was last picked, at pick number pickNumber of its service. renew means that its latency was stale then.
	pickedAt   time.Time
	pickNumber uint64
	renew      bool
	// faultRate is the smoothed fraction of requests that failed, were declined or were lost.
	faultRate    float64
	faultUpdated time.Time
	// backoffUntil is when an unreachable instance is tried again; unreachable counts consecutive failures to reach it.
	backoffUntil time.Time
	unreachable  int
	// pace is how fast the instance is compared with the others of its service.
	pace pace
}

// currentOtherRequests estimates the number of other daemons' requests on the instance.
func (r *record) currentOtherRequests(now time.Time) int {
	age := now.Sub(r.loadUpdated)
	if age >= loadTTL {
		return r.otherRequests / 2
	}
	return r.otherRequests
}

func (r *record) currentFaultRate(now time.Time) float64 {
	if r.faultRate == 0 {
		return 0
	}
	return r.faultRate * decay(now.Sub(r.faultUpdated), faultHalfLife)
}

func (r *record) recordFault(fault float64, now time.Time) {
	r.faultRate = r.currentFaultRate(now)
	r.faultRate += (fault - r.faultRate) * faultWeight
	r.faultUpdated = now
}

func (r *record) recordLatency(seconds float64) {
	if r.latency == 0 || r.renew {
		r.latency, r.renew = seconds, false
	}
	r.latency += (seconds - r.latency) * latencyWeight
}

// SetInstances replaces the list of instances: it removes the records of ended incarnations that have no outstanding requests.
func (b *Balancer) SetInstances(instances []routing.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := make(map[routing.Incarnation]bool, len(instances))
	for i := range instances {
		live[instances[i].Incarnation()] = true
	}
	for id, first := range b.records {
		kept := first.retain(func(r *record) bool { return r.outstanding > 0 || live[routing.Incarnation{ID: r.id, Born: r.born}] })
		if kept == nil {
			delete(b.records, id)
			continue
		}
		b.records[id] = kept
	}
	for _, of := range b.services {
		clear(of.byPosition)
		of.listed = 0
	}
	for i := range instances {
		b.serviceOf(&instances[i]).listed++
	}
}

// retain returns the list of records without those that aren't kept.
func (r *record) retain(keep func(*record) bool) *record {
	if r == nil {
		return nil
	}
	rest := r.next.retain(keep)
	if !keep(r) {
		return rest
	}
	r.next = rest
	return r
}

func (b *Balancer) recordOf(i *routing.Instance) *record {
	first := b.records[i.ID]
	for r := first; r != nil; r = r.next {
		if r.born == i.Born {
			return r
		}
	}
	r := &record{id: i.ID, born: i.Born, next: first}
	b.records[i.ID] = r
	return r
}

// recordAt returns the record of the instance at the position in a list of the service's instances. Lists seldom differ between two picks, so
// the record is mostly found without a look into the map.
func (b *Balancer) recordAt(of *service, position int, i *routing.Instance) *record {
	for len(of.byPosition) <= position {
		of.byPosition = append(of.byPosition, nil)
	}
	r := of.byPosition[position]
	if r == nil || r.id != i.ID || r.born != i.Born {
		r = b.recordOf(i)
		of.byPosition[position] = r
	}
	return r
}
