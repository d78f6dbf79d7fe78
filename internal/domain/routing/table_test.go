package routing

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTable(t *testing.T) {
	table := NewTable(Config{Version: 3, Services: map[string]Service{"s": {}, "t": {}}, Routes: []Route{
		{Name: "short", Host: "A.example", Prefix: "/x/", Parts: []Part{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Parts: []Part{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}, {Service: "u", Weight: 0}}},
		{Name: "all", Host: "b.example", Prefix: "/", Parts: []Part{{Service: "t", Weight: 1}}},
	}, Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}})
	Convey("The host's route with the longest prefix matches", t, func() {
		for _, c := range []struct{ host, path, route string }{
			{"a.example", "/x/1", "short"},
			{"a.example", "/x/y/1", "long"},
			{"a.example", "/x/y", "short"},
			{"a.example:80", "/x/", "short"},
			{"a.EXAMPLE", "/x/", "short"},
			{"b.example", "/anything", "all"},
			{"a.example", "/x", ""},
			{"a.example", "/", ""},
			{"c.example", "/x/", ""},
		} {
			r, ok := table.Match(c.host, c.path)
			So(ok, ShouldEqual, c.route != "")
			if ok {
				So(r.Name, ShouldEqual, c.route)
			}
		}
	})
	Convey("Each valid key belongs to its organisation, and no other key is accepted", t, func() {
		for key, known := range map[string]bool{"k1": true, "k2": true, "": false, "k": false, "k1 ": false} {
			_, ok := table.Authenticate(key)
			So(ok, ShouldEqual, known)
		}
	})
	Convey("The services of a route have shares by weight", t, func() {
		So(table.Shares("long"), ShouldResemble, map[string]float64{"s": 0.9, "t": 0.1})
		So(table.Shares("nothing"), ShouldBeNil)
	})
}

func validConfig() Config {
	return Config{Version: 3, Services: map[string]Service{"s": {}}, Routes: []Route{
		{Name: "r", Host: "h", Prefix: "/x/", Parts: []Part{{Service: "s", Weight: 1}}},
		{Name: "short", Host: "h", Prefix: "/", Parts: []Part{{Service: "s", Weight: 1}}},
	}, Organisations: []Organisation{{Name: "o", Keys: []string{"k"}}}}
}

func TestRejectedConfigurations(t *testing.T) {
	// Guards against requests that are attributed to the wrong organisation, and against going back to an older version.
	Convey("A fault that affects all callers rejects the whole configuration", t, func() {
		c := validConfig()
		So(c.Check(), ShouldBeNil)
		for _, c := range []struct {
			want   string
			change func(*Config)
		}{
			{"version 0", func(c *Config) { c.Version = 0 }},
			{"share a key", func(c *Config) {
				c.Organisations = append(c.Organisations, Organisation{Name: "p", Keys: []string{"k"}})
			}},
			{"none of 2 routes", func(c *Config) { c.Services = nil }},
		} {
			config := validConfig()
			c.change(&config)
			So(config.Check(), ShouldNotBeNil)
			So(config.Check().Error(), ShouldContainSubstring, c.want)
		}
	})
}

func TestFaultyRoutes(t *testing.T) {
	// Guards against one faulty route that stops all routes of the fleet, and against its requests going to a route with a shorter prefix.
	Convey("A faulty route is reported, and the others are served", t, func() {
		c := validConfig()
		So(c.MarkFaults(), ShouldBeEmpty)
		for _, c := range []struct {
			want   string
			found  bool
			change func(*Route)
		}{
			{"no host", false, func(r *Route) { r.Host = "" }},
			{"slash", false, func(r *Route) { r.Prefix = "/x" }},
			{"slash", false, func(r *Route) { r.Prefix = "" }},
			{"no service", true, func(r *Route) { r.Parts = nil }},
			{"not listed", true, func(r *Route) { r.Parts[0].Service = "t" }},
			{"weight -1", true, func(r *Route) { r.Parts[0].Weight = -1 }},
			{"unreadable", true, func(r *Route) { r.Fault = "unreadable" }},
		} {
			config := validConfig()
			c.change(&config.Routes[0])
			So(config.Check(), ShouldBeNil)
			faults := config.MarkFaults()
			So(faults, ShouldHaveLength, 1)
			So(faults[0], ShouldContainSubstring, c.want)
			table := NewTable(config)
			route, ok := table.Match("h", "/x/1")
			So(ok, ShouldBeTrue)
			So(route.Fault != "", ShouldEqual, c.found)
			route, ok = table.Match("h", "/y")
			So(ok, ShouldBeTrue)
			So(route.Fault, ShouldBeBlank)
		}
	})
}

func TestRelativeRank(t *testing.T) {
	routes := []Route{{Name: "first"}, {Name: "second", Rank: 1}, {Name: "third", Rank: 2}}
	// Guards against a queue that can't order routes because all organisations have the same rank.
	Convey("If all organisations have the same rank, the routes' ranks decide", t, func() {
		table := NewTable(Config{Routes: routes, Organisations: []Organisation{{Name: "a", Ranked: true, Rank: 1}, {Name: "b", Ranked: true, Rank: 1}}})
		o, _ := table.Organisation("a")
		So(table.RelativeRank(&routes[0], o), ShouldBeLessThan, table.RelativeRank(&routes[1], o))
		So(table.RelativeRank(&routes[1], o), ShouldBeLessThan, table.RelativeRank(&routes[2], o))
	})
	Convey("Otherwise the organisation's rank takes precedence", t, func() {
		table := NewTable(Config{Routes: routes, Organisations: []Organisation{{Name: "a", Ranked: true}, {Name: "b", Ranked: true, Rank: 2}}})
		a, _ := table.Organisation("a")
		b, _ := table.Organisation("b")
		So(table.RelativeRank(&routes[2], a), ShouldBeLessThan, table.RelativeRank(&routes[0], b))
		So(table.RelativeRank(&routes[0], a), ShouldEqual, 0)
		So(table.RelativeRank(&routes[2], b), ShouldEqual, 1)
	})
}
