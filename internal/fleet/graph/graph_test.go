package graph

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHops(t *testing.T) {
	shares := func(route string) map[string]float64 {
		return map[string]map[string]float64{
			"lookup": {"front": 1}, "balance": {"billing": 1}, "receipt": {"photos": 1}, "leg": {"trucks": 1},
			"pay": {"billing": 0.9, "front": 0.1}, "upload": {"photos": 1},
		}[route]
	}
	requestsByService := func(e Edges, route string) map[string]float64 {
		all := map[string]float64{}
		for _, hop := range e.Hops(route, 1, shares) {
			all[hop.Service] += hop.Count
		}
		return all
	}
	now := time.Unix(1000, 0)
	Convey("The hops of a route are its own services and those of its direct and indirect sub-calls", t, func() {
		g := New()
		So(g.Edges(), ShouldBeEmpty)
		g.Merge(Edges{"lookup": {"balance": 2}, "balance": {"receipt": 1}}, nil, now)
		g.Merge(Edges{"receipt": {"leg": 5}, "pay": {"receipt": 1}, "upload": {"leg": 0.02}}, nil, now)
		e := g.Edges()
		So(requestsByService(e, "lookup"), ShouldResemble, map[string]float64{"front": 1, "billing": 2, "photos": 2, "trucks": 10})
		So(requestsByService(e, "pay"), ShouldResemble, map[string]float64{"billing": 0.9, "front": 0.1, "photos": 1, "trucks": 5})
		So(requestsByService(e, "upload"), ShouldResemble, map[string]float64{"photos": 1})
	})
	Convey("Hops returns for routes that call each other", t, func() {
		g := New()
		g.Merge(Edges{"lookup": {"balance": 1}, "balance": {"lookup": 1}}, nil, now)
		So(requestsByService(g.Edges(), "lookup")["billing"], ShouldBeLessThan, 20)
	})
	Convey("An edge moves towards each report by a fraction of the difference", t, func() {
		g := New()
		g.Merge(Edges{"a": {"b": 4}}, nil, now)
		g.Merge(Edges{"a": {"b": 9}}, nil, now)
		So(g.Edges()["a"]["b"], ShouldAlmostEqual, 5)
		for range 20 {
			g.Merge(Edges{"a": {"b": 9}}, nil, now)
		}
		So(g.Edges()["a"]["b"], ShouldBeGreaterThan, 8.9)
	})
}

func TestUncertainEdges(t *testing.T) {
	// Guards against edges that come from sub-calls attributed to the wrong run: an instance that can't tell its routes apart reports them beside
	// instances that can.
	start := time.Unix(1000, 0)
	certain := []string{"leaf"}
	type report struct {
		after   time.Duration
		edges   Edges
		certain []string
	}
	for _, c := range []struct {
		name    string
		reports []report
		want    Edges
	}{
		{"an uncertain edge counts while no caller is certain", []report{{0, Edges{"plain": {"leaf": 0.5}}, nil}}, Edges{"plain": {"leaf": 0.5}}},
		{
			"a certain edge ends the uncertain ones to the same route",
			[]report{{0, Edges{"plain": {"leaf": 0.5, "other": 1}}, nil}, {time.Second, Edges{"chain": {"leaf": 4}}, certain}},
			Edges{"plain": {"other": 1}, "chain": {"leaf": 4}},
		},
		{
			"an uncertain edge doesn't count beside a certain one to the same route",
			[]report{{0, Edges{"chain": {"leaf": 4}}, certain}, {time.Second, Edges{"plain": {"leaf": 0.5, "other": 1}, "chain": {"leaf": 2}}, nil}},
			Edges{"plain": {"other": 1}, "chain": {"leaf": 4}},
		},
		{
			"it counts again once nothing certain has been reported for long",
			[]report{{0, Edges{"chain": {"leaf": 4}}, certain}, {certainTTL + time.Second, Edges{"plain": {"leaf": 0.5}}, nil}},
			Edges{"plain": {"leaf": 0.5}, "chain": {"leaf": 4}},
		},
		{
			"an edge ends that the known callers leave nothing for",
			[]report{{0, Edges{"chain": {"leaf": 4}}, certain}, {time.Second, Edges{"chain": {"leaf": 0}, "plain": {"leaf": 3}}, certain}},
			Edges{"chain": {}, "plain": {"leaf": 3}},
		},
		{
			"a route of which no sub-calls have been counted yet ends nothing",
			[]report{{0, Edges{"plain": {"leaf": 0.5}}, nil}, {time.Second, Edges{}, certain}},
			Edges{"plain": {"leaf": 0.5}},
		},
	} {
		Convey(c.name, t, func() {
			g := New()
			for _, r := range c.reports {
				g.Merge(r.edges, r.certain, start.Add(r.after))
			}
			for from, calls := range c.want {
				So(len(g.Edges()[from]), ShouldEqual, len(calls))
				for to, count := range calls {
					So(g.Edges()[from][to], ShouldAlmostEqual, count, 0.01)
				}
			}
		})
	}
}
