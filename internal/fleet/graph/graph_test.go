package graph

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLegs(t *testing.T) {
	parts := func(route string) map[string]float64 {
		return map[string]map[string]float64{
			"lookup": {"front": 1}, "balance": {"billing": 1}, "receipt": {"photos": 1}, "leg": {"trucks": 1},
			"pay": {"billing": 0.9, "front": 0.1}, "upload": {"photos": 1},
		}[route]
	}
	way := func(e Edges, route string) map[string]float64 {
		all := map[string]float64{}
		for _, l := range e.Hops(route, 1, parts) {
			all[l.Service] += l.Count
		}
		return all
	}
	Convey("The legs of a route have the services of its calls, and of theirs", t, func() {
		g := New()
		So(g.Edges(), ShouldBeEmpty)
		g.Merge(Edges{"lookup": {"balance": 2}, "balance": {"receipt": 1}})
		g.Merge(Edges{"receipt": {"leg": 5}, "pay": {"receipt": 1}, "upload": {"leg": 0.02}})
		e := g.Edges()
		So(way(e, "lookup"), ShouldResemble, map[string]float64{"front": 1, "billing": 2, "photos": 2, "trucks": 10})
		So(way(e, "pay"), ShouldResemble, map[string]float64{"billing": 0.9, "front": 0.1, "photos": 1, "trucks": 5})
		So(way(e, "upload"), ShouldResemble, map[string]float64{"photos": 1})
	})
	Convey("Routes that call each other end somewhere", t, func() {
		g := New()
		g.Merge(Edges{"lookup": {"balance": 1}, "balance": {"lookup": 1}})
		So(way(g.Edges(), "lookup")["billing"], ShouldBeLessThan, 20)
	})
	Convey("An edge follows what daemons see, by a part of the difference", t, func() {
		g := New()
		g.Merge(Edges{"a": {"b": 4}})
		g.Merge(Edges{"a": {"b": 9}})
		So(g.Edges()["a"]["b"], ShouldAlmostEqual, 5)
		for range 20 {
			g.Merge(Edges{"a": {"b": 9}})
		}
		So(g.Edges()["a"]["b"], ShouldBeGreaterThan, 8.9)
	})
}
