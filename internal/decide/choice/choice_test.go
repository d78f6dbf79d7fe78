package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

var start = time.Unix(1000, 0)

func instances(count int, zones ...string) []routing.Instance {
	all := make([]routing.Instance, count)
	for i := range all {
		all[i] = routing.Instance{ID: fmt.Sprintf("i%d", i), Zone: zones[i%len(zones)], Slots: 10}
	}
	return all
}

func chooser() *Balancer {
	rng := rand.New(rand.NewPCG(1, 2))
	return New("z0", WithRand(rng.Float64))
}

// shares picks so often and returns the part of each instance; each request ends at once as how tells.
func shares(c *Balancer, from []routing.Instance, begin time.Time, times int, how func(i routing.Instance) (Result, time.Duration)) map[string]float64 {
	got := map[string]float64{}
	for n := range times {
		now := begin.Add(time.Duration(n) * 10 * time.Millisecond)
		i, ok := c.Pick(from, nil, time.Second, now)
		if !ok {
			continue
		}
		e, took := how(i)
		c.Record(i, e, took, call.Load{Limit: 10}, now)
		got[i.ID] += 1 / float64(times)
	}
	return got
}

func served(routing.Instance) (Result, time.Duration) { return Served, 50 * time.Millisecond }

func TestInstancesThatAreNotWell(t *testing.T) {
	// An instance fails part of its requests while its health check is good. Callers see errors at random, and nobody takes
	// it out.
	Convey("One that fails half of its requests gets few", t, func() {
		rng := rand.New(rand.NewPCG(3, 4))
		got := shares(chooser(), instances(3, "z0"), start, 1000, func(i routing.Instance) (Result, time.Duration) {
			if i.ID == "i0" && rng.Float64() < 0.5 {
				return Failed, time.Millisecond
			}
			return served(i)
		})
		So(got["i0"], ShouldBeBetween, 0.0, 0.12)
	})
	// An instance turns slow. Every third request waits for it.
	Convey("One that takes four times as long gets few", t, func() {
		got := shares(chooser(), instances(3, "z0"), start, 1000, func(i routing.Instance) (Result, time.Duration) {
			if i.ID == "i0" {
				return Served, 200 * time.Millisecond
			}
			return served(i)
		})
		So(got["i0"], ShouldBeLessThan, 0.05)
	})
	// An instance crashes, and its entry stays for seconds.
	Convey("One that can't be reached is tried now and then, and taken back once it answers", t, func() {
		c := chooser()
		from := instances(3, "z0")
		dead := shares(c, from, start, 1000, func(i routing.Instance) (Result, time.Duration) {
			if i.ID == "i0" {
				return Unreachable, time.Millisecond
			}
			return served(i)
		})
		So(dead["i0"], ShouldBeBetween, 0.0, 0.02)
		well := shares(c, from, start.Add(time.Minute), 1000, served)
		So(well["i0"], ShouldBeGreaterThan, 0.1)
	})
	Convey("Where nothing else is left, one that is away is tried", t, func() {
		c := chooser()
		from := instances(1, "z0")
		i, _ := c.Pick(from, nil, time.Second, start)
		c.Record(i, Unreachable, 0, call.Load{}, start)
		_, ok := c.Pick(from, nil, time.Second, start)
		So(ok, ShouldBeTrue)
	})
}

func TestWhereRequestsGo(t *testing.T) {
	Convey("Draining instances and those that had the request get nothing", t, func() {
		from := instances(3, "z0")
		from[0].Draining = true
		for range 50 {
			i, ok := chooser().Pick(from, map[string]bool{"i1": true}, time.Second, start)
			So(ok, ShouldBeTrue)
			So(i.ID, ShouldEqual, "i2")
		}
		_, ok := chooser().Pick(from, map[string]bool{"i1": true, "i2": true}, time.Second, start)
		So(ok, ShouldBeFalse)
	})
	Convey("Requests stay in the zone while it has room, and leave it when it is full", t, func() {
		c := chooser()
		from := instances(4, "z0", "z1")
		got := shares(c, from, start, 400, served)
		So(got["i0"]+got["i2"], ShouldBeGreaterThan, 0.9)
		full := func(i routing.Instance) (Result, time.Duration) { return Served, 50 * time.Millisecond }
		away := 0.0
		for n := range 400 {
			now := start.Add(time.Minute + time.Duration(n)*time.Millisecond)
			i, _ := c.Pick(from, nil, time.Second, now)
			e, took := full(i)
			load := call.Load{Limit: 10}
			if i.Zone == "z0" {
				load = call.Load{InFlight: 10, Queued: 5, Limit: 10}
			} else {
				away++
			}
			c.Record(i, e, took, load, now)
		}
		So(away/400, ShouldBeGreaterThan, 0.8)
	})
	Convey("What was known of a start that is over is forgotten", t, func() {
		c := chooser()
		from := instances(1, "z0")
		i, _ := c.Pick(from, nil, time.Second, start)
		c.Record(i, Unreachable, 0, call.Load{}, start)
		from[0].Born = start
		c.SetInstances(from, start)
		So(c.known, ShouldHaveLength, 0)
	})
}
