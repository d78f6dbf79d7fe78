package queue

import "container/heap"

// class is one priority, served by start-time fair queueing.
//
// Each organisation has a virtual time that moves on by an item's cost over its
// weight, and the one furthest behind is served. Deficit round robin was tried
// first: with weights of 4 and 30 a round takes 100 items, longer than a request
// may wait, so that the small organisations' requests left before their turn.
type class[T any] struct {
	flows   map[string]*flow[T]
	waiting byStart[T]
	virtual float64
	// furthest is the latest virtual time that any flow has reached.
	furthest float64
	weight   int
	length   int

	levels []*flow[T]
	top    int

	// idle are flows without items whose past share still counts against them, oldest first.
	idle, idleLast *flow[T]
	spare          *flow[T]
}

// topLevel bounds the table of lengths; all longer flows count as equally long.
const topLevel = 4095

func (c *class[T]) push(i *Item[T]) {
	f := c.flows[i.Organisation]
	if f == nil {
		f = c.open(i)
	}
	i.flow = f
	f.items.push(i)
	f.queued += i.span(f.weight)
	c.length++
	c.relevel(f)
	if f.place < 0 {
		f.start = max(f.start, c.virtual)
		c.weight += f.weight
		heap.Push(&c.waiting, f)
	}
}

// next returns the item to serve and charges its organisation; the class is not empty.
func (c *class[T]) next() *Item[T] {
	f := c.waiting[0]
	i := f.items.head
	c.virtual = f.start
	f.start += i.span(f.weight)
	c.furthest = max(c.furthest, f.start)
	heap.Fix(&c.waiting, f.place)
	return i
}

func (c *class[T]) remove(i *Item[T]) {
	f := i.flow
	i.flow = nil
	f.items.remove(i)
	f.queued -= i.span(f.weight)
	c.length--
	c.relevel(f)
	if f.items.length == 0 {
		heap.Remove(&c.waiting, f.place)
		c.weight -= f.weight
		f.queued = 0
		c.rest(f)
	}
	c.forget()
}

// ahead assumes that all organisations in the class keep their queues filled while the item waits.
func (c *class[T]) ahead(i *Item[T]) int {
	weight, behind, others := max(i.Weight, 1), 0.0, c.weight
	if f := c.flows[i.Organisation]; f != nil {
		behind = max(f.start-c.virtual, 0) + f.queued
		weight = f.weight
		if f.place >= 0 {
			others -= f.weight
		}
	}
	return min(c.length, int(behind*float64(others+weight)))
}

func (c *class[T]) open(i *Item[T]) *flow[T] {
	f := c.spare
	if f == nil {
		f = &flow[T]{}
	} else {
		c.spare = f.idleNext
	}
	*f = flow[T]{organisation: i.Organisation, weight: max(i.Weight, 1), level: -1, place: -1}
	c.flows[f.organisation] = f
	return f
}

// rest keeps an emptied flow's virtual time. An organisation that always has
// just one request waiting would otherwise begin anew with each and take more than its share.
func (c *class[T]) rest(f *flow[T]) {
	if c.length == 0 {
		c.virtual = c.furthest
	}
	if f.resting {
		return
	}
	f.resting = true
	f.idleNext = nil
	if c.idle == nil {
		c.idle = f
	} else {
		c.idleLast.idleNext = f
	}
	c.idleLast = f
}

// forgetAtOnce bounds the work of one step.
const forgetAtOnce = 2

// forget gives up flows that the others have caught up with, a few at a time; one that waits again only leaves the list.
func (c *class[T]) forget() {
	for range forgetAtOnce {
		f := c.idle
		if f == nil {
			return
		}
		c.idle = f.idleNext
		if c.idle == nil {
			c.idleLast = nil
		}
		f.idleNext = nil
		f.resting = false
		switch {
		case f.place >= 0:
		case f.start > c.virtual:
			c.rest(f)
		default:
			delete(c.flows, f.organisation)
			f.idleNext = c.spare
			c.spare = f
		}
	}
}

// relevel moves the flow to the list of its present length. A length changes
// by one at a time, so the top of the table moves by at most one too.
func (c *class[T]) relevel(f *flow[T]) {
	level := min(f.items.length/f.weight, topLevel)
	if f.items.length == 0 {
		level = -1
	}
	if level == f.level {
		return
	}
	if f.level >= 0 {
		c.unlevel(f)
	}
	f.level = level
	if level >= 0 {
		c.enlevel(f)
	}
	for c.top > 0 && c.levels[c.top] == nil {
		c.top--
	}
}

func (c *class[T]) enlevel(f *flow[T]) {
	for len(c.levels) <= f.level {
		c.levels = append(c.levels, nil)
	}
	f.levelPrev, f.levelNext = nil, c.levels[f.level]
	if f.levelNext != nil {
		f.levelNext.levelPrev = f
	}
	c.levels[f.level] = f
	c.top = max(c.top, f.level)
}

func (c *class[T]) unlevel(f *flow[T]) {
	if f.levelPrev == nil {
		c.levels[f.level] = f.levelNext
	} else {
		f.levelPrev.levelNext = f.levelNext
	}
	if f.levelNext != nil {
		f.levelNext.levelPrev = f.levelPrev
	}
}

// longest returns the level of the longest flow, or -1 in an empty class.
func (c *class[T]) longest() int {
	if c.length == 0 {
		return -1
	}
	return c.top
}

// levelOf returns the level that the item's flow would have with it.
func (c *class[T]) levelOf(i *Item[T]) int {
	length := 1
	if f := c.flows[i.Organisation]; f != nil {
		length = f.items.length + 1
	}
	return length / max(i.Weight, 1)
}

func (c *class[T]) newestOfLongest() *Item[T] { return c.levels[c.top].items.tail }
