package graph

import "maps"

// Edges are how many calls a run of one route makes on another, by the two routes' names.
type Edges map[string]map[string]float64

// Graph is the call graph of the whole fleet, put together from what the daemons beside instances have seen.
//
// Services say nothing of what they call. Without the graph, a front learns that a request needs a full service only from
// the answers that come back through it, and those are late or lost just when it counts.
type Graph struct {
	edges   Edges
	version uint64
}

const (
	// weight is how far one daemon's word moves an edge that is known.
	weight = 0.2
	// material is the change of an edge, as a part of it, that others must hear of.
	material = 0.25
	// least is the fewest calls in a run that make an edge: now and then a call is taken for that of another run.
	least = 0.1
	// mostEdges bounds what is kept over many changes of the configuration.
	mostEdges = 20_000
)

// New returns an empty graph.
func New() *Graph { return &Graph{edges: Edges{}} }

// Version changes with each material change; 0 is that of an empty graph.
func (g *Graph) Version() uint64 { return g.version }

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
		g.version++
		return
	}
	changed := old + (count-old)*weight
	g.edges[from][to] = changed
	if int(changed/(old*material+least)) != int(old/(old*material+least)) {
		g.version++
	}
}

// Edges returns a copy of the graph.
func (g *Graph) Edges() Edges {
	all := make(Edges, len(g.edges))
	for from, calls := range g.edges {
		all[from] = maps.Clone(calls)
	}
	return all
}

// mostDepth is how deep calls are followed.
const mostDepth = 16

// Way returns the services that a request of the route needs, with how many requests each gets for it; parts returns the
// services of a route, with their shares.
func (e Edges) Way(route string, parts func(route string) map[string]float64) map[string]float64 {
	way := map[string]float64{}
	e.follow(route, 1, 0, parts, way)
	return way
}

func (e Edges) follow(route string, times float64, depth int, parts func(string) map[string]float64, into map[string]float64) {
	if depth > mostDepth || times < least {
		return
	}
	for service, share := range parts(route) {
		into[service] += times * share
	}
	for to, count := range e[route] {
		e.follow(to, times*count, depth+1, parts, into)
	}
}
