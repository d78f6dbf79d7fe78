package queue

// flow is what waits of one organisation in one priority.
type flow[T any] struct {
	organisation string
	weight       int
	items        list[T]
	// start is the virtual time at which the first item may begin, and queued
	// the virtual time that all waiting items take.
	start  float64
	queued float64
	// place is the flow's index in the heap of waiting flows, or -1.
	place int

	levelPrev, levelNext *flow[T]
	level                int
	// resting means that the flow is in the list of idle ones, perhaps although it waits again.
	resting  bool
	idleNext *flow[T]
}

// byStart is the heap of the flows that wait, the one to serve first on top.
type byStart[T any] []*flow[T]

// Len implements sort.Interface.
func (b byStart[T]) Len() int { return len(b) }

// Less implements sort.Interface.
func (b byStart[T]) Less(i, j int) bool { return b[i].start < b[j].start }

// Swap implements sort.Interface.
func (b byStart[T]) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].place, b[j].place = i, j
}

// Push implements heap.Interface.
func (b *byStart[T]) Push(x any) {
	f := x.(*flow[T])
	f.place = len(*b)
	*b = append(*b, f)
}

// Pop implements heap.Interface.
func (b *byStart[T]) Pop() any {
	last := len(*b) - 1
	f := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	f.place = -1
	return f
}

const (
	// costliest and cheapest bound an item's cost, so that one odd expectation
	// can't shut an organisation out for long.
	costliest = 8
	cheapest  = 1.0 / costliest
)

// span is the virtual time that an item takes of an organisation with the weight.
func (i *Item[T]) span(weight int) float64 {
	cost := i.Cost
	if cost == 0 {
		cost = 1
	}
	return min(max(cost, cheapest), costliest) / float64(weight)
}
