package queue

import "container/heap"

// subqueue is the queue of one priority, served by start-time fair queueing.
//
// Each organisation has a virtual time that advances by an item's cost divided by the organisation's weight, and the organisation with
// the lowest virtual time is served. Deficit round robin doesn't fit: with weights of 4 and 30 a round takes 100 items, longer than a
// request may wait, so that the requests of small organisations would expire before their turn.
type subqueue[T any] struct {
	flows   map[string]*flow[T]
	waiting flowHeap[T]
	// virtualTime is the virtual start of the item served last.
	virtualTime float64
	// maxVirtualTime is the highest virtual time that any flow has reached.
	maxVirtualTime float64
	// waitingWeight is the sum of the weights of the flows with items.
	waitingWeight int
	length        int

	// levels lists the flows with items by length divided by weight; longestLevel is the highest level with a flow.
	levels       []*flow[T]
	longestLevel int

	// idleHead and idleTail are the ends of the list of idle flows, oldest first. They have no items, but their virtual time is kept since
	// it still counts against them.
	idleHead, idleTail *flow[T]
	// free lists flows to be used again.
	free *flow[T]
}

// maxLevel bounds the table of levels; all longer flows count as equally long.
const maxLevel = 4095

func (s *subqueue[T]) push(i *Item[T]) {
	f := s.flows[i.Organisation]
	if f == nil {
		f = s.addFlow(i)
	}
	i.flow = f
	f.items.push(i)
	f.queuedCost += i.virtualCost(f.weight)
	s.length++
	s.updateLevel(f)
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, s.virtualTime)
		s.waitingWeight += f.weight
		heap.Push(&s.waiting, f)
	}
}

// next returns the item to serve and charges its organisation; the subqueue must not be empty.
func (s *subqueue[T]) next() *Item[T] {
	f := s.waiting[0]
	i := f.items.head
	s.virtualTime = f.virtualStart
	f.virtualStart += i.virtualCost(f.weight)
	s.maxVirtualTime = max(s.maxVirtualTime, f.virtualStart)
	heap.Fix(&s.waiting, f.heapIndex)
	return i
}

func (s *subqueue[T]) remove(i *Item[T]) {
	f := i.flow
	i.flow = nil
	f.items.remove(i)
	f.queuedCost -= i.virtualCost(f.weight)
	s.length--
	s.updateLevel(f)
	if f.items.length == 0 {
		heap.Remove(&s.waiting, f.heapIndex)
		s.waitingWeight -= f.weight
		f.queuedCost = 0
		s.markIdle(f)
	}
	s.reclaimIdle()
}

// ahead estimates how many items are served before the item, assuming that all organisations in the subqueue keep their queues filled.
func (s *subqueue[T]) ahead(i *Item[T]) int {
	weight, backlog, otherWeight := max(i.Weight, 1), 0.0, s.waitingWeight
	if f := s.flows[i.Organisation]; f != nil {
		backlog = max(f.virtualStart-s.virtualTime, 0) + f.queuedCost
		weight = f.weight
		if f.heapIndex >= 0 {
			otherWeight -= f.weight
		}
	}
	return min(s.length, int(backlog*float64(otherWeight+weight)))
}

// addFlow adds a flow for the item's organisation.
func (s *subqueue[T]) addFlow(i *Item[T]) *flow[T] {
	f := s.free
	if f == nil {
		f = &flow[T]{}
	} else {
		s.free = f.idleNext
	}
	*f = flow[T]{organisation: i.Organisation, weight: max(i.Weight, 1), level: -1, heapIndex: -1}
	s.flows[f.organisation] = f
	return f
}

// markIdle keeps the virtual time of a flow that has run out of items. An organisation that always has just one request waiting would
// otherwise start from the current virtual time with each and take more than its share.
func (s *subqueue[T]) markIdle(f *flow[T]) {
	if s.length == 0 {
		s.virtualTime = s.maxVirtualTime
	}
	if f.inIdleList {
		return
	}
	f.inIdleList = true
	f.idleNext = nil
	if s.idleHead == nil {
		s.idleHead = f
	} else {
		s.idleTail.idleNext = f
	}
	s.idleTail = f
}

// maxReclaimed bounds the number of idle flows examined by one operation.
const maxReclaimed = 2

// reclaimIdle drops idle flows that are no longer ahead of the virtual time, a few at a time; a flow that has items again only leaves
// the idle list.
func (s *subqueue[T]) reclaimIdle() {
	for range maxReclaimed {
		f := s.idleHead
		if f == nil {
			return
		}
		s.idleHead = f.idleNext
		if s.idleHead == nil {
			s.idleTail = nil
		}
		f.idleNext = nil
		f.inIdleList = false
		switch {
		case f.heapIndex >= 0:
		case f.virtualStart > s.virtualTime:
			s.markIdle(f)
		default:
			delete(s.flows, f.organisation)
			f.idleNext = s.free
			s.free = f
		}
	}
}

// updateLevel moves the flow to the list of its current level. A length changes by one at a time, so longestLevel moves by at most one
// too.
func (s *subqueue[T]) updateLevel(f *flow[T]) {
	level := min(f.items.length/f.weight, maxLevel)
	if f.items.length == 0 {
		level = -1
	}
	if level == f.level {
		return
	}
	if f.level >= 0 {
		s.unlinkLevel(f)
	}
	f.level = level
	if level >= 0 {
		s.linkLevel(f)
	}
	for s.longestLevel > 0 && s.levels[s.longestLevel] == nil {
		s.longestLevel--
	}
}

func (s *subqueue[T]) linkLevel(f *flow[T]) {
	for len(s.levels) <= f.level {
		s.levels = append(s.levels, nil)
	}
	f.levelPrev, f.levelNext = nil, s.levels[f.level]
	if f.levelNext != nil {
		f.levelNext.levelPrev = f
	}
	s.levels[f.level] = f
	s.longestLevel = max(s.longestLevel, f.level)
}

func (s *subqueue[T]) unlinkLevel(f *flow[T]) {
	if f.levelPrev == nil {
		s.levels[f.level] = f.levelNext
	} else {
		f.levelPrev.levelNext = f.levelNext
	}
	if f.levelNext != nil {
		f.levelNext.levelPrev = f.levelPrev
	}
}

// maxFlowLevel returns the level of the longest flow, or -1 in an empty subqueue.
func (s *subqueue[T]) maxFlowLevel() int {
	if s.length == 0 {
		return -1
	}
	return s.longestLevel
}

// levelWith returns the level that the item's flow would have with the item.
func (s *subqueue[T]) levelWith(i *Item[T]) int {
	length := 1
	if f := s.flows[i.Organisation]; f != nil {
		length = f.items.length + 1
	}
	return length / max(i.Weight, 1)
}

func (s *subqueue[T]) newestOfLongest() *Item[T] { return s.levels[s.longestLevel].items.tail }
