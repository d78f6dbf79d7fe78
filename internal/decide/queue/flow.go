package queue

// flow holds the waiting items of one organisation in one priority.
type flow[T any] struct {
	organisation string
	weight       int
	items        list[T]
	// virtualStart is the virtual time at which the first item may start, queuedCost the virtual time that all waiting items take.
	virtualStart float64
	queuedCost   float64
	// heapIndex is the flow's index in the heap of flows with items, or -1.
	heapIndex int

	levelPrev, levelNext *flow[T]
	level                int
	// inIdleList means that the flow is in the list of idle flows; it may have items again.
	inIdleList bool
	idleNext   *flow[T]
}

// flowHeap is a heap of the flows with items, ordered by virtual start.
type flowHeap[T any] []*flow[T]

// Len implements sort.Interface.
func (h flowHeap[T]) Len() int { return len(h) }

// Less implements sort.Interface.
func (h flowHeap[T]) Less(i, j int) bool { return h[i].virtualStart < h[j].virtualStart }

// Swap implements sort.Interface.
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

const (
	// maxCost and minCost bound an item's relative cost, so that one wrong estimate can't starve an organisation for long.
	maxCost = 8
	minCost = 1.0 / maxCost
)

// virtualCost is the virtual time by which the item advances an organisation of the given weight.
func (i *Item[T]) virtualCost(weight int) float64 {
	cost := i.Cost
	if cost == 0 {
		cost = 1
	}
	return min(max(cost, minCost), maxCost) / float64(weight)
}
