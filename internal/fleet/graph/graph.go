package graph

import "maps"

// Edges are how many calls a run of one route makes on another, by the two routes' names.
type Edges map[string]map[string]float64

// Graph is the call graph of the whole fleet, put together from what the daemons beside instances have seen.
//
// Services say nothing of what they call. Without the graph, nobody knows that a request needs a full service before
// the answers come back through it, and those are late or lost just when it counts.
type Graph struct {
	edges Edges
}

const (
	// weight is how far one daemon's word moves an edge that is known.
	weight = 0.2
	// least is the fewest calls in a run that make an edge: now and then a call is taken for that of another run.
	least = 0.1
	// mostEdges bounds what is kept over many changes of the configuration.
	mostEdges = 20_000
)

// New returns an empty graph.
func New() *Graph { return &Graph{edges: Edges{}} }

// Merge takes in what one daemon has seen.
func (g *Graph) Merge(seen Edges) {
	for from, calls := range seen {
		for to, count := range calls {
			g.merge(from, to, count)
		}
	}
}

func (g *Graph) merge(from, to string, count float64) {
	old, known := g.edges[from][to]
	switch {
	case !known && count < least:
		return
	case !known:
		if g.edges[from] == nil {
			g.edges[from] = map[string]float64{}
		}
		if len(g.edges) > mostEdges {
			clear(g.edges)
			g.edges[from] = map[string]float64{}
		}
		g.edges[from][to] = count
		return
	}
	g.edges[from][to] = old + (count-old)*weight
}

// Edges returns the graph; it must not be changed, and holds until the next Merge.
func (g *Graph) Edges() Edges { return g.edges }

// Clone returns a copy that later merges leave alone.
func (e Edges) Clone() Edges {
	all := make(Edges, len(e))
	for from, calls := range e {
		all[from] = maps.Clone(calls)
	}
	return all
}

// mostDepth is how deep calls are followed.
const mostDepth = 16

// Hop is one service that calls on a route lead to, with how many requests it gets for each request at the beginning.
type Hop struct {
	Route   string
	Service string
	Count   float64
}

// Hops returns all services that so many calls on the route lead to, with the calls below them; parts returns the services of a
// route with their shares.
func (e Edges) Hops(route string, count float64, parts func(route string) map[string]float64) []Hop {
	var legs []Hop
	e.follow(route, count, 0, parts, func(l Hop) { legs = append(legs, l) })
	return legs
}

func (e Edges) follow(route string, times float64, depth int, parts func(string) map[string]float64, visit func(Hop)) {
	if depth > mostDepth || times < least {
		return
	}
	for service, share := range parts(route) {
		visit(Hop{Route: route, Service: service, Count: times * share})
	}
	for to, count := range e[route] {
		e.follow(to, times*count, depth+1, parts, visit)
	}
}
