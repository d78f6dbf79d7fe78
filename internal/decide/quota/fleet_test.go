package quota

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	step = 5 * time.Millisecond
	// gap is between two words of a daemon, and aheadGap the least one before it speaks up early.
	gap      = 300 * time.Millisecond
	aheadGap = 100 * time.Millisecond
	// startSpread is within which daemons that start together send their first word.
	startSpread = 300 * time.Millisecond
	// Bounds of the promise: what runs in any window of 5 s.
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20.0
	// usualPart is the part of its rate that an organisation sends on an ordinary day.
	usualPart = 1 / 1.6
)

// fleet is daemons that tell a collector of themselves, each at its own moment, with clients of one organisation.
type fleet struct {
	size    int
	rate    Rate
	rng     *rand.Rand
	daemons []*daemon
	pool    *Pool
	now     time.Time
	start   time.Time
	// clients is the daemon of each client.
	clients []int
	// in are the times of what was let in, and asked and refused how many requests were sent and refused.
	in             []time.Duration
	asked, refused int
}

// daemon is one with its way to the collector.
type daemon struct {
	*Quota
	address netip.AddrPort
	started time.Time
	next    time.Time
	told    time.Time
	// dead and cut tell that it doesn't run, or reaches no collector.
	dead, cut bool
}

func newFleet(daemons, clients int, r Rate, seed uint64) *fleet {
	f := &fleet{size: daemons, rate: r, rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: time.Unix(1000, 0)}
	f.start = f.now
	for n := range daemons {
		d := &daemon{address: netip.AddrPortFrom(netip.AddrFrom4(numbered(n)), 1)}
		f.daemons = append(f.daemons, d)
		f.boot(d)
	}
	f.collect()
	for range clients {
		f.clients = append(f.clients, f.rng.IntN(daemons))
	}
	return f
}

func numbered(n int) (a [4]byte) {
	binary.BigEndian.PutUint32(a[:], uint32(10<<24+n))
	return a
}

// boot starts the daemon anew.
func (f *fleet) boot(d *daemon) {
	d.Quota = New(WithRand(f.rng.Float64))
	d.Configure(map[string]Rate{"o": f.rate})
	d.SetDaemons(f.size)
	d.dead, d.started, d.told = false, f.now, f.now
	d.next = f.now.Add(time.Duration(f.rng.Float64() * float64(startSpread)))
}

// collect begins with a new collector.
func (f *fleet) collect() {
	f.pool = NewPool()
	f.pool.Configure(map[string]Rate{"o": f.rate})
}

// beat tells the collector of the daemon.
func (f *fleet) beat(d *daemon) {
	d.told, d.next = f.now, f.now.Add(gap)
	if d.heard.IsZero() {
		d.next = f.now.Add(aheadGap)
	}
	if d.dead || d.cut {
		return
	}
	counts := d.Report(f.now)
	f.pool.SetCoverage(f.alive(), len(f.daemons))
	f.pool.Update(d.address, false, counts, f.now.Sub(d.started), f.now)
	if f.pool.Settled(gap, f.now) {
		d.Apply(f.pool.Allocations(counts, f.now), f.now)
	}
}

func (f *fleet) alive() int {
	n := 0
	for _, d := range f.daemons {
		if !d.dead && !d.cut {
			n++
		}
	}
	return n
}

// play lets the clients together send so many times the usual for a while.
func (f *fleet) play(length time.Duration, times float64) {
	perStep := f.rate.PerSecond * usualPart * times * step.Seconds()
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, d := range f.daemons {
			if !f.now.Before(d.next) {
				f.beat(d)
			}
		}
		for left := perStep; left > 0; left-- {
			if left >= 1 || f.rng.Float64() < left {
				f.send()
			}
		}
	}
}

// send is one request of a client; clients leave a daemon that is dead.
func (f *fleet) send() {
	c := f.rng.IntN(len(f.clients))
	for f.daemons[f.clients[c]].dead {
		f.clients[c] = f.rng.IntN(len(f.daemons))
	}
	d := f.daemons[f.clients[c]]
	v := d.Admit("o", f.now)
	f.asked++
	if v.Admitted {
		f.in = append(f.in, f.now.Sub(f.start))
	} else {
		f.refused++
	}
	if v.Surge && f.now.Sub(d.told) >= aheadGap {
		f.beat(d)
	}
}

// move sends a part of the clients to other daemons.
func (f *fleet) move(part float64, among int) {
	for c := range f.clients {
		if f.rng.Float64() < part {
			f.clients[c] = f.rng.IntN(among)
		}
	}
}

// kill ends a part of the daemons, by chance.
func (f *fleet) kill(part float64) {
	for _, n := range f.rng.Perm(len(f.daemons))[:int(part*float64(len(f.daemons)))] {
		f.daemons[n].dead = true
	}
}

// most is the fullest window.
func (f *fleet) most() int {
	best, from := 0, 0
	for to := range f.in {
		for f.in[to]-f.in[from] > window {
			from++
		}
		best = max(best, to-from+1)
	}
	return best
}

func allowed(r Rate) int {
	return int((r.PerSecond*window.Seconds()+r.Burst)*(1+overage) + slack)
}

// sizes are the fleets that the promise is checked on, and rates what organisations may send there.
var (
	sizes = []int{1, 17, 95, 300}
	rates = []float64{3, 8, 21, 64, 200}
)

// eachFleet checks one course of events on all of them, with clients on a few daemons or on most.
func eachFleet(course func(f *fleet)) {
	for _, size := range sizes {
		for _, rate := range rates {
			for _, clients := range []int{7, 600} {
				f := newFleet(size, clients, Rate{PerSecond: rate, Burst: rate}, 7)
				Convey(fmt.Sprintf("%d daemons, %v a second, %d clients", size, rate, clients), func() { course(f) })
			}
		}
	}
}
