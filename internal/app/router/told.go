package router

import (
	"maps"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
)

// toldStatements keeps what the daemons on instances' hosts have reported, with the results of requests, of what their instances state. When such
// a daemon restarts, it hears of a rate limit again with the next request, and gets no requests for an instance that is about to end.
type toldStatements struct {
	mu     sync.RWMutex
	limits map[routing.Incarnation]RateLimit
	// leaving has the instances that are about to end, with the time at which this daemon was told.
	leaving map[routing.Incarnation]time.Time
	// reported has those that the collector names. They count as long as it names them; leaving holds for good.
	reported map[routing.Incarnation]bool
}

// leavingMemory is how long an instance that was about to end is remembered; it may run on for long.
const leavingMemory = 24 * time.Hour

func newToldStatements() *toldStatements {
	return &toldStatements{limits: map[routing.Incarnation]RateLimit{}, leaving: map[routing.Incarnation]time.Time{}}
}

// record takes over what a result says of an instance, and reports whether it is news that the instance is about to end.
func (t *toldStatements) record(of routing.Incarnation, res *runResult, now time.Time) bool {
	t.mu.RLock()
	_, leaves := t.leaving[of]
	known := t.limits[of] == res.RateLimit && (leaves || !res.InstanceLeaving)
	t.mu.RUnlock()
	if known {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if res.RateLimit.Stated {
		t.limits[of] = res.RateLimit
	} else {
		delete(t.limits, of)
	}
	if _, leaves = t.leaving[of]; leaves || !res.InstanceLeaving {
		return false
	}
	maps.DeleteFunc(t.leaving, func(_ routing.Incarnation, since time.Time) bool { return now.Sub(since) > leavingMemory })
	t.leaving[of] = now
	return true
}

// limit returns the rate limit of an instance.
func (t *toldStatements) limit(of routing.Incarnation) RateLimit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.limits[of]
}

// staying returns the instances that aren't about to end.
func (t *toldStatements) staying(instances []routing.Instance) []routing.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.leaving) == 0 && len(t.reported) == 0 {
		return instances
	}
	staying := make([]routing.Instance, 0, len(instances))
	for i := range instances {
		of := instances[i].Incarnation()
		if _, leaves := t.leaving[of]; !leaves && !t.reported[of] {
			staying = append(staying, instances[i])
		}
	}
	return staying
}

// setReported replaces the instances that are about to end by the collector's word.
func (t *toldStatements) setReported(leaving []routing.Incarnation) {
	reported := make(map[routing.Incarnation]bool, len(leaving))
	for _, of := range leaving {
		reported[of] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = reported
}

// announced returns the listed instances of which this daemon was told that they are about to end, and of which nothing of the kind is published.
func (t *toldStatements) announced(view *catalog.View) []routing.Incarnation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var announced []routing.Incarnation
	for of := range t.leaving {
		if listed, ok := view.Instance(of.ID); ok && listed.Incarnation() == of && !listed.Draining {
			announced = append(announced, of)
		}
	}
	return announced
}

// retain forgets the limits of instances that aren't listed any more.
func (t *toldStatements) retain(listed []routing.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.limits) == 0 {
		return
	}
	kept := make(map[routing.Incarnation]RateLimit, len(t.limits))
	for i := range listed {
		if limit, ok := t.limits[listed[i].Incarnation()]; ok {
			kept[listed[i].Incarnation()] = limit
		}
	}
	t.limits = kept
}
