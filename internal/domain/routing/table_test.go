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
	Convey("The host's route with the longest prefix is found", t, func() {
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
	Convey("Each key in force has its organisation, and no other key has", t, func() {
		for key, known := range map[string]bool{"k1": true, "k2": true, "": false, "k": false, "k1 ": false} {
			_, ok := table.Authenticate(key)
			So(ok, ShouldEqual, known)
		}
	})
	Convey("A route's services have their shares", t, func() {
		So(table.Shares("long"), ShouldResemble, map[string]float64{"s": 0.9, "t": 0.1})
		So(table.Shares("nothing"), ShouldBeNil)
	})
}

func TestFaultyConfigurations(t *testing.T) {
	Convey("Each fault is told", t, func() {
		sound := func() Config {
			return Config{Version: 3, Services: map[string]Service{"s": {}}, Routes: []Route{
				{Name: "r", Host: "h", Prefix: "/x/", Parts: []Part{{Service: "s", Weight: 1}}},
			}, Organisations: []Organisation{{Name: "o", Keys: []string{"k"}}}}
		}
		c := sound()
		So(c.Check(), ShouldBeNil)
		for says, spoil := range map[string]func(*Config){
			"version 0":  func(c *Config) { c.Version = 0 },
			"no host":    func(c *Config) { c.Routes[0].Host = "" },
			"slash":      func(c *Config) { c.Routes[0].Prefix = "/x" },
			"no service": func(c *Config) { c.Routes[0].Parts = nil },
			"not listed": func(c *Config) { c.Routes[0].Parts[0].Service = "t" },
			"weight -1":  func(c *Config) { c.Routes[0].Parts[0].Weight = -1 },
			"share a key": func(c *Config) {
				c.Organisations = append(c.Organisations, Organisation{Name: "p", Keys: []string{"k"}})
			},
		} {
			c := sound()
			spoil(&c)
			So(c.Check(), ShouldNotBeNil)
			So(c.Check().Error(), ShouldContainSubstring, says)
		}
	})
}
