package chain

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual time.
type clock struct {
	now    time.Time
	events events
	seq    uint64
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, do: do})
}

// run executes all events up to a time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
