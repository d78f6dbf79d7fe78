package virtual

import "time"

// Clock runs events in the order of their virtual time.
type Clock struct {
	// Now is the virtual time.
	Now    time.Time
	events events
	seq    uint64
}

type event struct {
	at  int64
	seq uint64
	do  func()
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// events is a binary heap with the next event first. It doesn't use container/heap, which would allocate
// each of a run's millions of events.
type events []event

func (e *events) push(next event) {
	all := append(*e, next)
	i := len(all) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !next.before(all[parent]) {
			break
		}
		all[i] = all[parent]
		i = parent
	}
	all[i] = next
	*e = all
}

func (e *events) pop() event {
	all := *e
	first, last := all[0], all[len(all)-1]
	all[len(all)-1] = event{}
	all = all[:len(all)-1]
	if len(all) > 0 {
		all.siftDown(last)
	}
	*e = all
	return first
}

// siftDown places an event at the root of the heap and moves it down to its position.
func (e events) siftDown(moved event) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(e) {
			break
		}
		if child+1 < len(e) && e[child+1].before(e[child]) {
			child++
		}
		if !e[child].before(moved) {
			break
		}
		e[i] = e[child]
		i = child
	}
	e[i] = moved
}

// After schedules do to run after the given time.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now.Add(d), do) }

// At schedules do to run at the given time.
func (c *Clock) At(t time.Time, do func()) {
	c.seq++
	c.events.push(event{at: t.UnixNano(), seq: c.seq, do: do})
}

// Run runs all events that are due until the given time, and sets Now to that time.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && c.events[0].at <= until.UnixNano() {
		e := c.events.pop()
		c.Now = time.Unix(0, e.at)
		e.do()
	}
	c.Now = until
}
