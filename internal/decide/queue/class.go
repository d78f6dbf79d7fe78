package queue

import "container/heap"

// class is the queue of one priority, served by start-time fair queueing.
//
// Each organisation has a virtual time that advances by an item's cost divided by the organisation's weight, and the organisation with
// the lowest virtual time is served. Deficit round robin doesn't fit: with weights of 4 and 30 a round takes 100 items, longer than a
// request may wait, so that the requests of small organisations would expire before their turn.
type class[T any] struct {
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

func (c *class[T]) push(i *Item[T]) {
	f := c.flows[i.Organisation]
	if f == nil {
		f = c.addFlow(i)
	}
	i.flow = f
	f.items.push(i)
	f.queuedCost += i.virtualCost(f.weight)
	c.length++
	c.updateLevel(f)
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		c.waitingWeight += f.weight
		heap.Push(&c.waiting, f)
	}
}

// next returns the item to serve and charges its organisation; the class must not be empty.
func (c *class[T]) next() *Item[T] {
	f := c.waiting[0]
	i := f.items.head
	c.virtualTime = f.virtualStart
	f.virtualStart += i.virtualCost(f.weight)
	c.maxVirtualTime = max(c.maxVirtualTime, f.virtualStart)
	heap.Fix(&c.waiting, f.heapIndex)
	return i
}

func (c *class[T]) remove(i *Item[T]) {
	f := i.flow
	i.flow = nil
	f.items.remove(i)
	f.queuedCost -= i.virtualCost(f.weight)
	c.length--
	c.updateLevel(f)
	if f.items.length == 0 {
		heap.Remove(&c.waiting, f.heapIndex)
		c.waitingWeight -= f.weight
		f.queuedCost = 0
		c.markIdle(f)
	}
	c.reclaimIdle()
}

// ahead estimates how many items are served before the item, assuming that all organisations in the class keep their queues filled.
func (c *class[T]) ahead(i *Item[T]) int {
	weight, backlog, otherWeight := max(i.Weight, 1), 0.0, c.waitingWeight
	if f := c.flows[i.Organisation]; f != nil {
		backlog = max(f.virtualStart-c.virtualTime, 0) + f.queuedCost
		weight = f.weight
		if f.heapIndex >= 0 {
			otherWeight -= f.weight
		}
	}
	return min(c.length, int(backlog*float64(otherWeight+weight)))
}

// addFlow adds a flow for the item's organisation.
func (c *class[T]) addFlow(i *Item[T]) *flow[T] {
	f := c.free
	if f == nil {
		f = &flow[T]{}
	} else {
		c.free = f.idleNext
	}
	*f = flow[T]{organisation: i.Organisation, weight: max(i.Weight, 1), level: -1, heapIndex: -1}
	c.flows[f.organisation] = f
	return f
}

// markIdle keeps the virtual time of a flow that has run out of items. An organisation that always has just one request waiting would
// otherwise start from the current virtual time with each and take more than its share.
func (c *class[T]) markIdle(f *flow[T]) {
	if c.length == 0 {
		c.virtualTime = c.maxVirtualTime
	}
	if f.inIdleList {
		return
	}
	f.inIdleList = true
	f.idleNext = nil
	if c.idleHead == nil {
		c.idleHead = f
	} else {
		c.idleTail.idleNext = f
	}
	c.idleTail = f
}

// maxReclaimed bounds the number of idle flows examined by one operation.
const maxReclaimed = 2

// reclaimIdle drops idle flows that are no longer ahead of the virtual time, a few at a time; a flow that has items again only leaves
// the idle list.
func (c *class[T]) reclaimIdle() {
	for range maxReclaimed {
		f := c.idleHead
		if f == nil {
			return
		}
		c.idleHead = f.idleNext
		if c.idleHead == nil {
			c.idleTail = nil
		}
		f.idleNext = nil
		f.inIdleList = false
		switch {
		case f.heapIndex >= 0:
		case f.virtualStart > c.virtualTime:
			c.markIdle(f)
		default:
			delete(c.flows, f.organisation)
			f.idleNext = c.free
			c.free = f
		}
	}
}

// updateLevel moves the flow to the list of its current level. A length changes by one at a time, so longestLevel moves by at most one
// too.
func (c *class[T]) updateLevel(f *flow[T]) {
	level := min(f.items.length/f.weight, maxLevel)
	if f.items.length == 0 {
		level = -1
	}
	if level == f.level {
		return
	}
	if f.level >= 0 {
		c.unlinkLevel(f)
	}
	f.level = level
	if level >= 0 {
		c.linkLevel(f)
	}
	for c.longestLevel > 0 && c.levels[c.longestLevel] == nil {
		c.longestLevel--
	}
}

func (c *class[T]) linkLevel(f *flow[T]) {
	for len(c.levels) <= f.level {
		c.levels = append(c.levels, nil)
	}
	f.levelPrev, f.levelNext = nil, c.levels[f.level]
	if f.levelNext != nil {
		f.levelNext.levelPrev = f
	}
	c.levels[f.level] = f
	c.longestLevel = max(c.longestLevel, f.level)
}

func (c *class[T]) unlinkLevel(f *flow[T]) {
	if f.levelPrev == nil {
		c.levels[f.level] = f.levelNext
	} else {
		f.levelPrev.levelNext = f.levelNext
	}
	if f.levelNext != nil {
		f.levelNext.levelPrev = f.levelPrev
	}
}

// maxFlowLevel returns the level of the longest flow, or -1 in an empty class.
func (c *class[T]) maxFlowLevel() int {
	if c.length == 0 {
		return -1
	}
	return c.longestLevel
}

// levelWith returns the level that the item's flow would have with the item.
func (c *class[T]) levelWith(i *Item[T]) int {
	length := 1
	if f := c.flows[i.Organisation]; f != nil {
		length = f.items.length + 1
	}
	return length / max(i.Weight, 1)
}

func (c *class[T]) newestOfLongest() *Item[T] { return c.levels[c.longestLevel].items.tail }
