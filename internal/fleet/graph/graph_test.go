package graph

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWay(t *testing.T) {
	parts := func(route string) map[string]float64 {
		return map[string]map[string]float64{
			"lookup": {"front": 1}, "balance": {"billing": 1}, "receipt": {"photos": 1}, "leg": {"trucks": 1},
			"pay": {"billing": 0.9, "front": 0.1}, "upload": {"photos": 1},
		}[route]
	}
	Convey("The way of a route has the services of its calls, and of theirs", t, func() {
		g := New()
		So(g.Version(), ShouldEqual, 0)
		g.Merge(Edges{"lookup": {"balance": 2}, "balance": {"receipt": 1}})
		g.Merge(Edges{"receipt": {"leg": 5}, "pay": {"receipt": 1}, "upload": {"leg": 0.02}})
		e := g.Edges()
		So(e.Way("lookup", parts), ShouldResemble, map[string]float64{"front": 1, "billing": 2, "photos": 2, "trucks": 10})
		So(e.Way("pay", parts), ShouldResemble, map[string]float64{"billing": 0.9, "front": 0.1, "photos": 1, "trucks": 5})
		So(e.Way("upload", parts), ShouldResemble, map[string]float64{"photos": 1})
	})
	Convey("Routes that call each other end somewhere", t, func() {
		g := New()
		g.Merge(Edges{"lookup": {"balance": 1}, "balance": {"lookup": 1}})
		So(g.Edges().Way("lookup", parts)["billing"], ShouldBeLessThan, 20)
	})
	Convey("Only material changes are told", t, func() {
		g := New()
		g.Merge(Edges{"a": {"b": 4}})
		v := g.Version()
		g.Merge(Edges{"a": {"b": 4.05}})
		So(g.Version(), ShouldEqual, v)
		for range 20 {
			g.Merge(Edges{"a": {"b": 9}})
		}
		So(g.Version(), ShouldBeGreaterThan, v)
	})
}
