package spread

import "time"

// change is a version that came into force at a node.
type change struct {
	at      time.Time
	version uint64
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events, ordered by time and then by sequence.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
