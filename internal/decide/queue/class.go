package queue

// flow is what waits of one organisation in one priority.
type flow[T any] struct {
	organisation string
	weight       int
	items        list[T]
	// credit is the cost that may still be served in this turn; it may be overdrawn once.
	credit float64

	ringPrev, ringNext   *flow[T]
	levelPrev, levelNext *flow[T]
	level                int
}

// class is one priority: a ring of flows for the turns, and the flows by length for finding the longest.
type class[T any] struct {
	flows  map[string]*flow[T]
	turn   *flow[T]
	weight int
	length int
	levels []*flow[T]
	top    int
	spare  *flow[T]
}

const (
	// costliest bounds the turns that one item can cost its organisation.
	costliest = 8
	cheapest  = 1.0 / costliest
	// topLevel bounds the table of lengths; all longer flows count as equally long.
	topLevel = 4095
)

func (c *class[T]) push(i *Item[T]) {
	f := c.flows[i.Organisation]
	if f == nil {
		f = c.open(i)
	}
	i.flow = f
	f.items.push(i)
	c.length++
	c.relevel(f)
}

func (c *class[T]) remove(i *Item[T]) {
	f := i.flow
	i.flow = nil
	f.items.remove(i)
	c.length--
	c.relevel(f)
	if f.items.length == 0 {
		c.shut(f)
	}
}

// next returns the item whose turn it is and charges its organisation; the
// class is not empty. It is a deficit round robin that charges afterwards: each
// turn adds an organisation's weight, and an overdrawn one is passed over until
// its turns have paid. Each pass adds at least 1 and an item costs 1 in the
// mean, so that the work per item is constant.
func (c *class[T]) next() *Item[T] {
	for c.turn.credit <= 0 {
		c.turn.credit += float64(c.turn.weight)
		c.turn = c.turn.ringNext
	}
	f := c.turn
	i := f.items.head
	f.credit -= i.cost()
	if f.credit <= 0 {
		f.credit += float64(f.weight)
		c.turn = f.ringNext
	}
	return i
}

func (i *Item[T]) cost() float64 {
	if i.Cost == 0 {
		return 1
	}
	return min(max(i.Cost, cheapest), costliest)
}

// ahead assumes that every organisation in the class keeps its queue filled while the item waits.
func (c *class[T]) ahead(i *Item[T]) int {
	own, weight := 0, max(i.Weight, 1)
	others := c.weight
	if f := c.flows[i.Organisation]; f != nil {
		own = f.items.length
		others -= f.weight
	}
	rounds := (own + weight) / weight
	return min(c.length, own+rounds*others)
}

func (c *class[T]) open(i *Item[T]) *flow[T] {
	f := c.spare
	if f == nil {
		f = &flow[T]{}
	} else {
		c.spare = f.ringNext
	}
	*f = flow[T]{organisation: i.Organisation, weight: max(i.Weight, 1), level: -1}
	f.credit = float64(f.weight)
	c.flows[f.organisation] = f
	c.weight += f.weight
	if c.turn == nil {
		f.ringPrev, f.ringNext = f, f
		c.turn = f
		return f
	}
	f.ringPrev, f.ringNext = c.turn.ringPrev, c.turn
	f.ringPrev.ringNext = f
	c.turn.ringPrev = f
	return f
}

func (c *class[T]) shut(f *flow[T]) {
	delete(c.flows, f.organisation)
	c.weight -= f.weight
	if f.ringNext == f {
		c.turn = nil
	} else {
		f.ringPrev.ringNext, f.ringNext.ringPrev = f.ringNext, f.ringPrev
		if c.turn == f {
			c.turn = f.ringNext
		}
	}
	f.ringPrev, f.ringNext = nil, c.spare
	c.spare = f
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
	if level < 0 {
		c.settleTop()
		return
	}
	for len(c.levels) <= level {
		c.levels = append(c.levels, nil)
	}
	f.levelPrev, f.levelNext = nil, c.levels[level]
	if f.levelNext != nil {
		f.levelNext.levelPrev = f
	}
	c.levels[level] = f
	c.top = max(c.top, level)
	c.settleTop()
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

func (c *class[T]) settleTop() {
	for c.top > 0 && c.levels[c.top] == nil {
		c.top--
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
