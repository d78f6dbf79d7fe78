package queue

import "github.com/foxtailhook/foxtailhook/internal/domain/call"

// FairQueue serves the highest priority first and, within a priority, the organisations by weight.
//
// Designed for a fleet where one organisation exceeds its rate several times over, or sends files while others look up vehicles. In
// order of arrival the others would wait behind it and be affected by its overload. An operation on the queue takes at most
// logarithmic time in the number of organisations, which may be ten thousand.
type FairQueue[T any] struct {
	subqueues [call.Priorities]subqueue[T]
	length    int
	pops      uint
}

// LowerPriorityInterval is the interval in items at which one of a lower priority is served: at full load of higher-priority requests,
// one slot in 32 goes to the others so that none starves, which costs the higher-priority requests 3% of the slots.
const LowerPriorityInterval = 32

// NewFair returns an empty fair queue.
func NewFair[T any]() *FairQueue[T] {
	q := &FairQueue[T]{}
	for p := range q.subqueues {
		q.subqueues[p].flows = map[string]*flow[T]{}
	}
	return q
}

// Len returns the number of items.
func (q *FairQueue[T]) Len() int { return q.length }

// Push adds an item that is in no queue.
func (q *FairQueue[T]) Push(i *Item[T]) {
	i.queued = true
	q.subqueues[i.Priority].push(i)
	q.length++
}

// Remove removes a waiting item, such as one whose caller has given up.
func (q *FairQueue[T]) Remove(i *Item[T]) {
	if !i.queued {
		return
	}
	i.queued = false
	q.subqueues[i.Priority].remove(i)
	q.length--
}

// LenBelow returns the number of items of lower priorities than the given one.
func (q *FairQueue[T]) LenBelow(floor call.Priority) int {
	length := 0
	for p := range floor {
		length += q.subqueues[p].length
	}
	return length
}

// Pop removes and returns the item to serve next, or returns nil.
func (q *FairQueue[T]) Pop() *Item[T] { return q.PopFrom(call.Background) }

// PopFrom removes and returns the item to serve next among those of the given priority or a higher one, or returns nil.
func (q *FairQueue[T]) PopFrom(floor call.Priority) *Item[T] {
	if q.length == q.LenBelow(floor) {
		return nil
	}
	i := q.subqueues[q.nextPriority(floor)].next()
	q.Remove(i)
	return i
}

// nextPriority returns the priority to serve next, at least floor; there must be an item of such a priority.
func (q *FairQueue[T]) nextPriority(floor call.Priority) call.Priority {
	q.pops++
	if q.pops%LowerPriorityInterval == 0 {
		return q.lowerPriority(floor)
	}
	return q.highestPriority()
}

// highestPriority returns the highest priority with items.
func (q *FairQueue[T]) highestPriority() call.Priority {
	for p := call.Nested; p > call.Background; p-- {
		if q.subqueues[p].length > 0 {
			return p
		}
	}
	return call.Background
}

// lowerPriority alternates between Standard and the lowest priority from floor with items, so that neither starves the other.
func (q *FairQueue[T]) lowerPriority(floor call.Priority) call.Priority {
	if floor <= call.Standard && q.pops/LowerPriorityInterval%2 == 0 && q.subqueues[call.Standard].length > 0 {
		return call.Standard
	}
	for p := floor; p < call.Nested; p++ {
		if q.subqueues[p].length > 0 {
			return p
		}
	}
	return call.Nested
}

// Ahead estimates how many items would be served before the item if it were pushed now.
func (q *FairQueue[T]) Ahead(i *Item[T]) int {
	ahead := q.subqueues[i.Priority].ahead(i)
	for p := i.Priority + 1; p <= call.Nested; p++ {
		ahead += q.subqueues[p].length
	}
	return ahead
}

// Victim returns the item to evict from a full queue in favour of the arrival, or nil if the arrival should be refused.
//
// Lower priorities lose items first, so that a booking is shed after requests that nobody waits for. Within a priority the organisation
// with the longest queue relative to its weight loses its newest item: one that sends five times its rate fills the queue, and must not
// cause refusals of the others' requests. The last item of a priority stays, since otherwise a steady flood of higher-priority requests
// would starve it.
func (q *FairQueue[T]) Victim(arrival *Item[T]) *Item[T] {
	for p := call.Background; p < arrival.Priority; p++ {
		if q.subqueues[p].length > 1 {
			return q.subqueues[p].newestOfLongest()
		}
	}
	own := &q.subqueues[arrival.Priority]
	if own.maxFlowLevel() > own.levelWith(arrival) {
		return own.newestOfLongest()
	}
	return nil
}

// Last returns the item that is likely to be served last, or nil.
func (q *FairQueue[T]) Last() *Item[T] {
	for p := call.Background; p <= call.Nested; p++ {
		if q.subqueues[p].length > 0 {
			return q.subqueues[p].newestOfLongest()
		}
	}
	return nil
}
