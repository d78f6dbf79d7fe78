package graph

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Edges has the number of sub-calls that one run of a route makes on another route, by the names of the calling and the called route.
type Edges map[string]map[string]float64

// Graph is the call graph of the whole fleet, merged from what the daemons of instances observe.
//
// Services don't declare what they call. Without the graph it is unknown that a request needs a saturated service until the responses of
// its sub-calls return, and in an overload these are late or lost.
type Graph struct {
	edges Edges
	// mergedAt is when each edge was last reported.
	mergedAt map[edge]time.Time
	// certainAt is when certain edges to each route were last reported.
	certainAt map[string]time.Time
}

// edge is a pair of routes.
type edge struct{ from, to string }

const (
	// minWeight is the smallest weight of one daemon's report in the moving average of a known edge, and timeConstant the time in which the
	// average of an edge with few daemons follows, so that it is as current as that of an edge with many.
	minWeight    = 0.2
	timeConstant = 150 * time.Millisecond
	// certainTTL is how long uncertain edges are disregarded after certain ones to the same route, several heartbeats.
	certainTTL = 5 * time.Second
	// minEdge is the number of sub-calls per run below which a known edge ends.
	minEdge = 0.01
	// minCalls is the minimum number of sub-calls per run that makes an edge: now and then a sub-call is attributed to the wrong run. Hops
	// doesn't follow fewer requests than this either.
	minCalls = 0.1
	// maxRoutes bounds the calling routes that accumulate over many configuration changes; beyond it the graph is emptied.
	maxRoutes = 20_000
)

// New returns an empty graph.
func New() *Graph {
	return &Graph{edges: Edges{}, mergedAt: map[edge]time.Time{}, certainAt: map[string]time.Time{}}
}

// Merge adds what one daemon has observed. Zero sub-calls mean that the other callers account for all. The edges to the given routes are
// certain. Other edges count only while no certain ones to the same route are known: whoever makes the calls is known then, and the edge
// may come from sub-calls that were attributed to the wrong run.
func (g *Graph) Merge(observed Edges, certain []string, now time.Time) {
	for _, to := range certain {
		known := now.Sub(g.certainAt[to]) <= certainTTL
		if !known && observed.called(to) {
			g.dropEdges(to)
			known = true
		}
		if known {
			g.certainAt[to] = now
		}
	}
	for from, calls := range observed {
		for to, count := range calls {
			if now.Sub(g.certainAt[to]) > certainTTL || slices.Contains(certain, to) {
				g.merge(from, to, count, now)
			}
		}
	}
}

// called reports whether a route makes sub-calls on the given one.
func (e Edges) called(to string) bool {
	for _, calls := range e {
		if calls[to] >= minCalls {
			return true
		}
	}
	return false
}

// dropEdges drops all edges to a route.
func (g *Graph) dropEdges(to string) {
	for from, calls := range g.edges {
		delete(calls, to)
		delete(g.mergedAt, edge{from, to})
	}
}

func (g *Graph) merge(from, to string, count float64, now time.Time) {
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
			clear(g.mergedAt)
			clear(g.certainAt)
			g.edges[from] = map[string]float64{}
		}
		g.edges[from][to] = count
		g.mergedAt[edge{from, to}] = now
		return
	}
	elapsed := now.Sub(g.mergedAt[edge{from, to}])
	g.mergedAt[edge{from, to}] = now
	weight := max(minWeight, 1-math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
	g.edges[from][to] = old + (count-old)*weight
	if g.edges[from][to] < minEdge {
		delete(g.edges[from], to)
		delete(g.mergedAt, edge{from, to})
	}
}

// Certain returns the routes to which certain edges have lately been reported.
func (g *Graph) Certain(now time.Time) []string {
	var certain []string
	for to, at := range g.certainAt {
		if now.Sub(at) <= certainTTL {
			certain = append(certain, to)
		}
	}
	slices.Sort(certain)
	return certain
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
