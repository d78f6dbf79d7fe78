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
	return WithChoose(r.IntN), r
}

// answer is how a host answers a request, given how many it is running.
type answer func(host, running int) (time.Duration, Ending, call.Load)

type due struct {
	at     time.Time
	place  Placement
	ending Ending
	load   call.Load
}

type schedule []due

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(d any)        { *s = append(*s, d.(due)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// drive places requests at a steady rate and returns each host's share of them.
func drive(p *Placer, all []lists.Host, from time.Time, length, every time.Duration, answers answer) []float64 {
	var waiting schedule
	index, running := map[string]int{}, make([]int, len(all))
	for i, h := range all {
		index[h.Host] = i
	}
	shares, total := make([]float64, len(all)), 0.0
	settle := func(now time.Time) {
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			d := heap.Pop(&waiting).(due)
			running[index[d.place.Host.Host]]--
			p.Settle(d.at, d.place, "op", d.ending, d.load)
		}
	}
	for now := from; now.Before(from.Add(length)); now = now.Add(every) {
		settle(now)
		place, ok := p.Pick(now, "s", all, nil)
		if !ok {
			continue
		}
		i := index[place.Host.Host]
		running[i]++
		latency, ending, load := answers(i, running[i])
		heap.Push(&waiting, due{now.Add(latency), place, ending, load})
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

func healthy(_, running int) (time.Duration, Ending, call.Load) {
	return 5 * ms, Served, call.Load{InFlight: running, Limit: 20}
}

func TestShares(t *testing.T) {
	cases := []struct {
		name   string
		answer answer
		// least and most bound the share of host 0 of five.
		least, most float64
	}{
		{"a slow host takes no more than its share", func(h, n int) (time.Duration, Ending, call.Load) {
			d, e, l := healthy(h, n)
			if h == 0 {
				d *= 10
			}
			return d, e, l
		}, 0.002, 0.1},
		{"a dead host that fails at once is not filled", func(h, n int) (time.Duration, Ending, call.Load) {
			if h == 0 {
				return ms / 10, Failed, call.Load{}
			}
			return healthy(h, n)
		}, 0.001, 0.05},
		{"an upstream that fails fast is not filled", func(h, n int) (time.Duration, Ending, call.Load) {
			if h == 0 {
				return ms / 10, Faulty, call.Load{Limit: 20}
			}
			return healthy(h, n)
		}, 0.001, 0.1},
		{"a slow host that claims to be idle and huge is not filled", func(h, n int) (time.Duration, Ending, call.Load) {
			if h == 0 {
				return 50 * ms, Served, call.Load{Limit: 1e9}
			}
			return healthy(h, n)
		}, 0.002, 0.2},
		{"a healthy host that claims to be full still gets requests", func(h, n int) (time.Duration, Ending, call.Load) {
			d, e, l := healthy(h, n)
			if h == 0 {
				l.Queued = 1e9
			}
			return d, e, l
		}, 0.002, 0.2},
		{"failures of all hosts alike empty none", func(int, int) (time.Duration, Ending, call.Load) {
			return 5 * ms, Failed, call.Load{}
		}, 0.15, 0.25},
	}
	for _, c := range cases {
		for _, every := range []time.Duration{ms / 4, 5 * ms} {
			Convey(fmt.Sprintf("%s, a request every %s", c.name, every), t, func() {
				choose, _ := seeded()
				p := New("elsewhere", choose)
				shares := drive(p, hosts(5), start, 30*time.Second, every, c.answer)
				So(shares[0], ShouldBeBetween, c.least, c.most)
			})
		}
	}
}

func TestColdHostRampsUp(t *testing.T) {
	Convey("A host that appears gets little at first and its share in the end", t, func() {
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

func TestDeadHostComesBack(t *testing.T) {
	Convey("A host that was dead gets its share again once it answers", t, func() {
		choose, _ := seeded()
		p := New("elsewhere", choose)
		drive(p, hosts(5), start, 10*time.Second, ms, func(h, n int) (time.Duration, Ending, call.Load) {
			if h == 0 {
				return ms, Failed, call.Load{}
			}
			return healthy(h, n)
		})
		drive(p, hosts(5), start.Add(10*time.Second), 10*time.Second, ms, healthy)
		last := drive(p, hosts(5), start.Add(20*time.Second), 10*time.Second, ms, healthy)
		So(last[0], ShouldBeGreaterThan, 0.12)
	})
}

func TestZones(t *testing.T) {
	Convey("Hosts of the own availability zone are taken while they are as good", t, func() {
		choose, _ := seeded()
		shares := drive(New("a", choose), hosts(6), start, 10*time.Second, 5*ms, healthy)
		So(shares[0]+shares[3], ShouldBeGreaterThan, 0.8)
	})
	Convey("A busy availability zone sends the rest elsewhere", t, func() {
		choose, _ := seeded()
		busy := func(_, n int) (time.Duration, Ending, call.Load) {
			return 5 * ms * time.Duration(max(n, 10)) / 10, Served, call.Load{InFlight: n, Limit: 10}
		}
		shares := drive(New("a", choose), hosts(6), start, 10*time.Second, ms/8, busy)
		So(shares[0]+shares[3], ShouldBeBetween, 0.3, 0.7)
	})
}

// candidates is the naive choice: all hosts that may be taken.
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
					may := candidates(all, tried)
					place, ok := p.Pick(now, "s", all, tried)
					if ok != (len(may) > 0) || ok && !may[place.Host.Host] {
						t.Fatalf("picked %q, %v of %v", place.Host.Host, ok, may)
					}
					if !ok {
						break
					}
					tried = append(tried, place.Host.Host)
					running[place.Host.Host]++
					if rapid.Bool().Draw(t, "settled") {
						e := Ending(rapid.IntRange(0, int(Silent)).Draw(t, "ending"))
						p.Settle(now.Add(ms), place, "op", e, call.Load{Limit: 1})
						running[place.Host.Host]--
					}
				}
			}
			for name, m := range p.group("s").byName {
				if m.inFlight != running[name] {
					t.Fatalf("%s has %d in flight, want %d", name, m.inFlight, running[name])
				}
			}
			// A host that leaves the list is forgotten with what it had in flight.
			for name := range running {
				if _, listed := p.group("s").byName[name]; !listed {
					delete(running, name)
				}
			}
		}
	})
}
