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

func TestSampler(t *testing.T) {
	Convey("A service with few instances is not sampled", t, func() {
		So(NewSampler(instances(2*drawnInstances, "z0"), "z0"), ShouldBeNil)
	})
	cases := []struct {
		name  string
		zones []string
		// local is the number of instances in the daemon's zone that are drawn.
		local int
	}{
		{"half of the instances drawn are in the daemon's zone", []string{"z0", "z1", "z2"}, drawnInstances / 2},
		{"all are in the daemon's zone if there is no other", []string{"z0"}, drawnInstances},
		{"none is if the zone has none", []string{"z1", "z2"}, 0},
	}
	for _, c := range cases {
		Convey("Of a large service, "+c.name+", each at most once", t, func() {
			drawn := NewSampler(instances(500, c.zones...), "z0").Draw()
			local, times := 0, map[string]int{}
			for _, i := range drawn {
				times[i.ID]++
				if i.Zone == "z0" {
					local++
				}
			}
			So(times, ShouldHaveLength, drawnInstances)
			So(local, ShouldEqual, c.local)
		})
	}
	// Guards against instances that never receive a request.
	Convey("All instances are drawn equally often", t, func() {
		const draws = 20_000
		sampler, times := NewSampler(instances(500, "z1", "z2"), "z0"), map[string]int{}
		for range draws {
			for _, i := range sampler.Draw() {
				times[i.ID]++
			}
		}
		for _, i := range sampler.instances {
			So(times[i.ID], ShouldAlmostEqual, draws*drawnInstances/500, draws*drawnInstances/500/4)
		}
	})
}

// tookRandomly returns the time of a request that takes 50 ms on average.
func tookRandomly(rng *rand.Rand) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(50*time.Millisecond))
}

// TestSampledPicks guards against a worse choice of instances in a large service: requests that go to slow, faulty or full instances, or that
// leave the availability zone without need, because the better ones were not drawn.
func TestSampledPicks(t *testing.T) {
	const requests = 30_000
	cases := []struct {
		name string
		// unwanted are the instances that should get few requests, and end is how a request to one of them ends.
		unwanted func(n int, i routing.Instance) bool
		end      func(rng *rand.Rand) Attempt
	}{
		{
			"a tenth is slow", func(n int, _ routing.Instance) bool { return n%10 == 0 },
			func(rng *rand.Rand) Attempt { return Attempt{Result: Served, Took: 4 * tookRandomly(rng)} },
		},
		{
			"a twentieth fails half of the requests", func(n int, _ routing.Instance) bool { return n%20 == 0 },
			func(rng *rand.Rand) Attempt {
				return Attempt{Result: []Result{Served, Failed}[rng.IntN(2)], Took: tookRandomly(rng)}
			},
		},
		{
			"a tenth can't be reached", func(n int, _ routing.Instance) bool { return n%10 == 0 },
			func(*rand.Rand) Attempt { return Attempt{Result: Unreachable} },
		},
		{
			"other zones", func(_ int, i routing.Instance) bool { return i.Zone != "z0" },
			func(rng *rand.Rand) Attempt { return Attempt{Result: Served, Took: tookRandomly(rng)} },
		},
	}
	for _, c := range cases {
		for _, size := range []int{501, 1000} {
			Convey(fmt.Sprintf("%d instances, %s", size, c.name), t, func() {
				list := instances(size, "z0", "z1", "z2")
				unwanted := map[string]bool{}
				for n, i := range list {
					unwanted[i.ID] = c.unwanted(n, i)
				}
				fraction := func(draw func() []routing.Instance) float64 {
					b, rng, count := newBalancer(), rand.New(rand.NewPCG(5, 6)), 0
					b.SetInstances(list)
					for n := range requests {
						now := start.Add(time.Duration(n) * time.Millisecond)
						picked, _ := b.Pick(draw(), nil, "r", time.Second, now)
						attempt := Attempt{Result: Served, Took: tookRandomly(rng)}
						if unwanted[picked.ID] {
							attempt = c.end(rng)
							count++
						}
						attempt.Route, attempt.Load = "r", call.Load{Limit: 10}
						b.Record(picked, attempt, now)
					}
					return float64(count) / requests
				}
				all := fraction(func() []routing.Instance { return list })
				sampled := fraction(NewSampler(list, "z0").Draw)
				t.Logf("unwanted %.4f of all, %.4f sampled", all, sampled)
				So(sampled, ShouldBeLessThanOrEqualTo, all+0.01)
			})
		}
	}
}

// BenchmarkSampledPick measures the choice of an instance of a large service and the record of its response.
func BenchmarkSampledPick(b *testing.B) {
	for _, count := range []int{501, 1000} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			balancer, list := newBalancer(), instances(count, "z0", "z1", "z2")
			balancer.SetInstances(list)
			sampler, load := NewSampler(list, "z0"), call.Load{Limit: 10}
			b.ReportAllocs()
			for b.Loop() {
				i, _ := balancer.Pick(sampler.Draw(), nil, "r", time.Second, start)
				balancer.Record(i, Attempt{Route: "r", Result: Served, Took: 50 * time.Millisecond, Load: load}, start)
			}
		})
	}
}
