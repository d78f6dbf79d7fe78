package graph

import "maps"

// Edges has the number of sub-calls that one run of a route makes on another route, by the names of the calling and the called route.
type Edges map[string]map[string]float64

// Graph is the call graph of the whole fleet, merged from what the daemons of instances observe.
//
// Services don't declare what they call. Without the graph it is unknown that a request needs a saturated service until the responses of
// its sub-calls return, and in an overload these are late or lost.
type Graph struct {
	edges Edges
}

const (
	// smoothingFactor is the weight of one daemon's report in the moving average of a known edge.
	smoothingFactor = 0.2
	// minCalls is the minimum number of sub-calls per run that makes an edge: now and then a sub-call is attributed to the wrong run. Hops
	// doesn't follow fewer requests than this either.
	minCalls = 0.1
	// maxRoutes bounds the calling routes that accumulate over many configuration changes; beyond it the graph is emptied.
	maxRoutes = 20_000
)

// New returns an empty graph.
func New() *Graph { return &Graph{edges: Edges{}} }

// Merge adds what one daemon has observed.
func (g *Graph) Merge(observed Edges) {
	for from, calls := range observed {
		for to, count := range calls {
			g.merge(from, to, count)
		}
	}
}

func (g *Graph) merge(from, to string, count float64) {
	old, known := g.edges[from][to]
	switch {
	case !known && count < minCalls:
		return
	case !known:
		if g.edges[from] == nil {
			g.edges[from] = map[string]float64{}
		}
		if len(g.edges) > maxRoutes {
			clear(g.edges)
			g.edges[from] = map[string]float64{}
		}
		g.edges[from][to] = count
		return
	}
	g.edges[from][to] = old + (count-old)*smoothingFactor
}

// Edges returns the graph. It must not be changed and is valid until the next Merge.
func (g *Graph) Edges() Edges { return g.edges }

// Clone returns a copy that later merges don't change.
func (e Edges) Clone() Edges {
	clone := make(Edges, len(e))
	for from, calls := range e {
		clone[from] = maps.Clone(calls)
	}
	return clone
}

// maxDepth is how deep sub-calls are followed.
const maxDepth = 16

// Hop is a service that a route's sub-calls lead to, with the number of requests that it receives per root request.
type Hop struct {
	Route   string
	Service string
	Count   float64
}

// Hops returns the services that the given number of requests on the route lead to, with all sub-calls below them. The function shares
// returns the fraction of a route's requests that goes to each of its services.
func (e Edges) Hops(route string, count float64, shares func(route string) map[string]float64) []Hop {
	var hops []Hop
	e.follow(route, count, 0, shares, func(hop Hop) { hops = append(hops, hop) })
	return hops
}

func (e Edges) follow(route string, count float64, depth int, shares func(string) map[string]float64, visit func(Hop)) {
	if depth > maxDepth || count < minCalls {
		return
	}
	for service, share := range shares(route) {
		visit(Hop{Route: route, Service: service, Count: count * share})
	}
	for to, perRun := range e[route] {
		e.follow(to, count*perRun, depth+1, shares, visit)
	}
}
