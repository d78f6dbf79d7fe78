package router

import (
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// toldStatements keeps what this daemon was told of the instances that it sends requests to. The daemons on their hosts keep to it; when one of
// them restarts, it hears of it again with the next request.
type toldStatements struct {
	mu     sync.RWMutex
	limits map[routing.Incarnation]RateLimit
}

func newToldStatements() *toldStatements {
	return &toldStatements{limits: map[routing.Incarnation]RateLimit{}}
}

// record takes over what the reply of the daemon on an instance's host says of the instance.
func (t *toldStatements) record(of routing.Incarnation, limit RateLimit) {
	if t.limit(of) == limit {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if limit.Stated {
		t.limits[of] = limit
	} else {
		delete(t.limits, of)
	}
}

// limit returns the rate limit of an instance.
func (t *toldStatements) limit(of routing.Incarnation) RateLimit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.limits[of]
}

// retain forgets the instances that aren't listed any more.
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
