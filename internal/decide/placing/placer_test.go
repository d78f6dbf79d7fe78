package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// hosts returns n hosts, spread over the availability zones a, b and c.
func hosts(n int) []lists.Host {
	all := make([]lists.Host, n)
	for i := range all {
		all[i] = lists.Host{Host: fmt.Sprintf("h%d", i), Service: "s", Zone: string(rune('a' + i%3))}
	}
	return all
}

func seeded() (Option, *rand.Rand) {
	r := rand.New(rand.NewPCG(3, 4))
	return WithRandIntN(r.IntN), r
}

// hostModel returns the latency, result and reported load of a request, given the host and how many requests it is running.
type hostModel func(host, running int) (time.Duration, Result, call.Load)

type pendingResult struct {
	at        time.Time
	placement Placement
	result    Result
	load      call.Load
}

// resultHeap orders the results by time.
type resultHeap []pendingResult

func (h resultHeap) Len() int           { return len(h) }
func (h resultHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h resultHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *resultHeap) Push(x any)        { *h = append(*h, x.(pendingResult)) }
func (h *resultHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// drive places requests at a steady rate and returns each host's share of them.
func drive(p *Placer, all []lists.Host, from time.Time, length, every time.Duration, model hostModel) []float64 {
	var waiting resultHeap
	index, running := map[string]int{}, make([]int, len(all))
	for i, h := range all {
		index[h.Host] = i
	}
	shares, total := make([]float64, len(all)), 0.0
	settle := func(now time.Time) {
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			d := heap.Pop(&waiting).(pendingResult)
			running[index[d.placement.Host.Host]]--
			p.Settle(d.at, d.placement, "op", d.result, d.load)
		}
	}
	for now := from; now.Before(from.Add(length)); now = now.Add(every) {
		settle(now)
		placement, ok := p.Pick(now, "s", all, nil)
		if !ok {
			continue
		}
		i := index[placement.Host.Host]
		running[i]++
		latency, result, load := model(i, running[i])
		heap.Push(&waiting, pendingResult{now.Add(latency), placement, result, load})
		shares[i]++
		total++
	}
	settle(from.Add(time.Hour))
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

var start = time.Unix(0, 0)

const ms = time.Millisecond

func healthy(_, running int) (time.Duration, Result, call.Load) {
	return 5 * ms, Served, call.Load{InFlight: running, Limit: 20}
}

func TestShares(t *testing.T) {
	cases := []struct {
		name  string
		model hostModel
		// minShare and maxShare bound the share of host 0 of five.
		minShare, maxShare float64
	}{
		{"a slow host gets no more than its share", func(h, n int) (time.Duration, Result, call.Load) {
			d, e, l := healthy(h, n)
			if h == 0 {
				d *= 10
			}
			return d, e, l
		}, 0.002, 0.1},
		{"an unreachable host that fails at once gets few requests", func(h, n int) (time.Duration, Result, call.Load) {
			if h == 0 {
				return ms / 10, NoResponse, call.Load{}
			}
			return healthy(h, n)
		}, 0.001, 0.05},
		{"an upstream that fails fast gets few requests", func(h, n int) (time.Duration, Result, call.Load) {
			if h == 0 {
				return ms / 10, UpstreamFailed, call.Load{Limit: 20}
			}
			return healthy(h, n)
		}, 0.001, 0.1},
		{"a slow host that reports no load and a high limit gets no more than its share", func(h, n int) (time.Duration, Result, call.Load) {
			if h == 0 {
				return 50 * ms, Served, call.Load{Limit: 1e9}
			}
			return healthy(h, n)
		}, 0.002, 0.2},
		{"a healthy host that reports a long queue still gets requests", func(h, n int) (time.Duration, Result, call.Load) {
			d, e, l := healthy(h, n)
			if h == 0 {
				l.Queued = 1e9
			}
			return d, e, l
		}, 0.002, 0.2},
		{"equal failures of all hosts leave the shares equal", func(int, int) (time.Duration, Result, call.Load) {
			return 5 * ms, NoResponse, call.Load{}
		}, 0.15, 0.25},
	}
	for _, c := range cases {
		for _, every := range []time.Duration{ms / 4, 5 * ms} {
			Convey(fmt.Sprintf("%s, a request every %s", c.name, every), t, func() {
				choose, _ := seeded()
				p := New("elsewhere", choose)
				shares := drive(p, hosts(5), start, 30*time.Second, every, c.model)
				So(shares[0], ShouldBeBetween, c.minShare, c.maxShare)
			})
		}
	}
}

func TestColdHostRampsUp(t *testing.T) {
	Convey("A host that is added gets few requests at first and its full share after the ramp-up", t, func() {
		choose, _ := seeded()
		p := New("elsewhere", choose)
		drive(p, hosts(4), start, 10*time.Second, ms, healthy)
		first := drive(p, hosts(5), start.Add(10*time.Second), time.Second, ms, healthy)
		So(first[4], ShouldBeLessThan, 0.1)
		drive(p, hosts(5), start.Add(11*time.Second), 10*time.Second, ms, healthy)
		last := drive(p, hosts(5), start.Add(21*time.Second), 10*time.Second, ms, healthy)
		So(last[4], ShouldBeGreaterThan, 0.15)
	})
}

func TestDeadHostRecovers(t *testing.T) {
	Convey("A host that was unreachable gets its share again once it responds", t, func() {
		choose, _ := seeded()
		p := New("elsewhere", choose)
		drive(p, hosts(5), start, 10*time.Second, ms, func(h, n int) (time.Duration, Result, call.Load) {
			if h == 0 {
				return ms, NoResponse, call.Load{}
			}
			return healthy(h, n)
		})
		drive(p, hosts(5), start.Add(10*time.Second), 10*time.Second, ms, healthy)
		last := drive(p, hosts(5), start.Add(20*time.Second), 10*time.Second, ms, healthy)
		So(last[0], ShouldBeGreaterThan, 0.12)
	})
}

func TestZones(t *testing.T) {
	Convey("Hosts of the daemon's own availability zone are preferred while they are as good", t, func() {
		choose, _ := seeded()
		shares := drive(New("a", choose), hosts(6), start, 10*time.Second, 5*ms, healthy)
		So(shares[0]+shares[3], ShouldBeGreaterThan, 0.8)
	})
	Convey("Requests beyond a busy availability zone's capacity go to others", t, func() {
		choose, _ := seeded()
		busy := func(_, n int) (time.Duration, Result, call.Load) {
			return 5 * ms * time.Duration(max(n, 10)) / 10, Served, call.Load{InFlight: n, Limit: 10}
		}
		shares := drive(New("a", choose), hosts(6), start, 10*time.Second, ms/8, busy)
		So(shares[0]+shares[3], ShouldBeBetween, 0.3, 0.7)
	})
}

// candidates is the naive choice: all hosts that may be chosen.
func candidates(all []lists.Host, tried []string) map[string]bool {
	out := map[string]bool{}
	for _, h := range all {
		if !h.Leaving {
			out[h.Host] = true
		}
	}
	for _, name := range tried {
		delete(out, name)
	}
	return out
}

func TestPickAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := Kind(rapid.IntRange(0, int(LeastLatency)).Draw(t, "kind"))
		p, now := New("a", WithKind(kind)), start
		running := map[string]int{}
		for range rapid.IntRange(1, 10).Draw(t, "views") {
			all := hosts(rapid.IntRange(0, 6).Draw(t, "hosts"))
			for i := range all {
				all[i].Leaving = rapid.Bool().Draw(t, "leaving")
			}
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				now = now.Add(ms)
				var tried []string
				for range rapid.IntRange(1, 8).Draw(t, "attempts") {
					allowed := candidates(all, tried)
					placement, ok := p.Pick(now, "s", all, tried)
					if ok != (len(allowed) > 0) || ok && !allowed[placement.Host.Host] {
						t.Fatalf("picked %q, %v of %v", placement.Host.Host, ok, allowed)
					}
					if !ok {
						break
					}
					tried = append(tried, placement.Host.Host)
					running[placement.Host.Host]++
					if rapid.Bool().Draw(t, "settled") {
						e := Result(rapid.IntRange(0, int(Inconclusive)).Draw(t, "result"))
						p.Settle(now.Add(ms), placement, "op", e, call.Load{Limit: 1})
						running[placement.Host.Host]--
					}
				}
			}
			for name, m := range p.group("s").byName {
				if m.inFlight != running[name] {
					t.Fatalf("%s has %d in flight, want %d", name, m.inFlight, running[name])
				}
			}
			// A host that leaves the list is dropped together with its requests in flight.
			for name := range running {
				if _, listed := p.group("s").byName[name]; !listed {
					delete(running, name)
				}
			}
		}
	})
}
