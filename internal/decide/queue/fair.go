package queue

import "github.com/foxtailhook/foxtailhook/internal/domain/call"

// FairQueue serves the highest priority first and, within one, each organisation by its weight.
//
// It is for a fleet where one organisation sends several times its rate, or
// sends files while others look up vehicles. In order of arrival the others
// would wait behind it and see its overload as theirs. All steps cost the same
// for eight organisations and for ten thousand.
type FairQueue[T any] struct {
	classes [call.Priorities]class[T]
	length  int
	pops    uint
}

// lowerEvery is how often a lower priority goes first: at full load of higher
// work, one slot in 32 goes to the rest, so that none of it starves, at a price
// of 3% to those who wait for a lookup.
const lowerEvery = 32

// NewFair returns an empty fair queue.
func NewFair[T any]() *FairQueue[T] {
	q := &FairQueue[T]{}
	for p := range q.classes {
		q.classes[p].flows = map[string]*flow[T]{}
	}
	return q
}

// Len returns the number of items.
func (q *FairQueue[T]) Len() int { return q.length }

// Push adds an item that is in no queue.
func (q *FairQueue[T]) Push(i *Item[T]) {
	i.queued = true
	q.classes[i.Priority].push(i)
	q.length++
}

// Remove takes out an item that gave up.
func (q *FairQueue[T]) Remove(i *Item[T]) {
	if !i.queued {
		return
	}
	i.queued = false
	q.classes[i.Priority].remove(i)
	q.length--
}

// Pop takes out the item to serve next, or returns nil.
func (q *FairQueue[T]) Pop() *Item[T] {
	if q.length == 0 {
		return nil
	}
	i := q.classes[q.turn()].next()
	q.Remove(i)
	return i
}

// turn returns the priority whose turn it is; the queue is not empty.
func (q *FairQueue[T]) turn() call.Priority {
	q.pops++
	if q.pops%lowerEvery == 0 {
		return q.lowest()
	}
	return q.highest()
}

func (q *FairQueue[T]) highest() call.Priority {
	for p := call.Nested; p > call.Background; p-- {
		if q.classes[p].length > 0 {
			return p
		}
	}
	return call.Background
}

// lowest alternates between the two lower priorities, so that neither starves the other.
func (q *FairQueue[T]) lowest() call.Priority {
	if q.pops/lowerEvery%2 == 0 && q.classes[call.Standard].length > 0 {
		return call.Standard
	}
	for p := call.Background; p < call.Nested; p++ {
		if q.classes[p].length > 0 {
			return p
		}
	}
	return call.Nested
}

// Ahead estimates how many items would be served before the item.
func (q *FairQueue[T]) Ahead(i *Item[T]) int {
	ahead := q.classes[i.Priority].ahead(i)
	for p := i.Priority + 1; p <= call.Nested; p++ {
		ahead += q.classes[p].length
	}
	return ahead
}

// Victim returns the item that should leave a full queue for the arrival, or nil if the arrival should go.
//
// Lower priorities lose first, so that a booking is shed after work that
// nobody waits for. Within a priority the organisation with the longest queue
// for its weight loses its newest item: one that sends five times its rate
// fills the queue, and must not thereby refuse the others. The last item of a
// priority stays, since otherwise a steady flood of higher work would starve it.
func (q *FairQueue[T]) Victim(arrival *Item[T]) *Item[T] {
	for p := call.Background; p < arrival.Priority; p++ {
		if q.classes[p].length > 1 {
			return q.classes[p].newestOfLongest()
		}
	}
	own := &q.classes[arrival.Priority]
	if own.longest() > own.levelOf(arrival) {
		return own.newestOfLongest()
	}
	return nil
}

// Last returns the item that is likely to be served last, or nil.
func (q *FairQueue[T]) Last() *Item[T] {
	for p := call.Background; p <= call.Nested; p++ {
		if q.classes[p].length > 0 {
			return q.classes[p].newestOfLongest()
		}
	}
	return nil
}
