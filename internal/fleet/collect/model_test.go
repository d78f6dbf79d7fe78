package collect

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/quota"
	"github.com/foxtailhook/foxtailhook/internal/fleet/demand"
)

const (
	step = 10 * time.Millisecond
	// avoidFor is how long a collector that doesn't answer is passed over.
	avoidFor = 3 * time.Second
	// Bounds of the promise on rates: what runs in any window of 5 s.
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20.0
	// usualPart is the part of its rate that an organisation sends on an ordinary day.
	usualPart = 1 / 1.6
	// mostAge is how old what a daemon knows of the fleet may be, and mostHeard how many beats a second one daemon may have to answer.
	mostAge   = 500 * time.Millisecond
	mostHeard = 700
)

// fleet is daemons with their collectors in virtual time, and the clients of one organisation.
type fleet struct {
	size    int
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	layout  *Topology
	rate    quota.Rate
	daemons []*daemon
	at      map[netip.Addr]*daemon
	clients []int
	// in are the times of what was let in; asked and refused count requests.
	in             []time.Duration
	asked, refused int
	// oldest is the oldest word that a daemon has gone by.
	oldest time.Duration
}

// daemon is one of them.
type daemon struct {
	*quota.Quota
	*Collector
	address   netip.AddrPort
	began     time.Time
	next      time.Time
	avoided   map[netip.Addr]time.Time
	word      Plan
	made      time.Time
	silent    []netip.Addr
	answered  int
	dead, cut bool
}

type silent struct{}

func (silent) Planned([]allot.Shortage, int) {}

func (silent) Leaves(netip.Addr) {}

func newFleet(size, clients int, perSecond float64) *fleet {
	f := &fleet{
		size: size, rng: rand.New(rand.NewPCG(11, uint64(size))), now: time.Unix(1000, 0), at: map[netip.Addr]*daemon{},
		rate: quota.Rate{PerSecond: perSecond, Burst: perSecond},
	}
	f.start = f.now
	hosts := listed(size, 11)
	f.layout = NewTopology(hosts)
	for _, h := range hosts {
		d := &daemon{address: netip.AddrPortFrom(h.Address, 1)}
		f.daemons = append(f.daemons, d)
		f.at[h.Address] = d
		f.boot(d)
	}
	for range clients {
		f.clients = append(f.clients, f.rng.IntN(size))
	}
	return f
}

// boot starts the daemon anew.
func (f *fleet) boot(d *daemon) {
	rates := map[string]quota.Rate{"o": f.rate}
	d.Quota = quota.New(quota.WithRand(f.rng.Float64))
	d.Quota.Configure(rates)
	d.SetDaemons(f.size)
	d.Collector = New(silent{}, mechanism.Set{})
	d.Collector.Configure(rates)
	d.began, d.avoided, d.dead, d.word, d.made = f.now, map[netip.Addr]time.Time{}, false, Plan{}, time.Time{}
	d.next = f.now.Add(time.Duration(f.rng.Float64() * float64(Interval)))
}

func (d *daemon) usable(now time.Time) func(netip.Addr) bool {
	return func(a netip.Addr) bool { return !now.Before(d.avoided[a]) }
}

// send tells the daemon on the host, unless that is out of reach.
func (f *fleet) send(d *daemon, to netip.Addr, b Heartbeat) (Reply, bool) {
	other := f.at[to]
	if other.dead || other.cut != d.cut {
		d.avoided[to] = f.now.Add(avoidFor)
		d.DropPlan()
		return Reply{}, false
	}
	other.answered++
	return other.Handle(b, Fleet{Daemons: len(f.daemons), Members: f.layout.Members(to)}, f.now), true
}

// beat is one of the daemon's.
func (f *fleet) beat(d *daemon) {
	own := d.address.Addr()
	first := f.layout.Group(own, 3, d.usable(f.now))
	d.next = f.now.Add(Interval)
	if !f.layout.Flat() && first[0] == own {
		d.next = f.now.Add(GroupInterval)
		f.beatForGroup(d)
	}
	b := Heartbeat{
		From: d.address, Up: f.now.Sub(d.began), Counts: d.Report(f.now),
		Report: demand.Report{Daemons: 1, Services: map[string]demand.Service{"s": {Instances: 1, Saturation: 1, Slots: 10}}},
	}
	if first[0] != own {
		b.Heard = d.Heard(f.now)
	}
	for _, to := range first {
		back, ok := f.send(d, to, b)
		if !ok {
			continue
		}
		d.silent = back.Missing
		if to != own {
			d.Collector.Apply(back, f.now)
		}
		d.word, d.made = back.Plan, f.now.Add(-back.Plan.Age)
		if back.Plan.Settled {
			d.Quota.Apply(back.Plan.Rates, d.made)
		}
		return
	}
}

func (f *fleet) beatForGroup(d *daemon) {
	var all Heartbeat
	for _, to := range f.layout.Fleet(3, d.usable(f.now)) {
		if to == d.address.Addr() {
			return
		}
		if !all.Group {
			all.From = d.address
			d.FillGroup(&all, f.layout.Members(d.address.Addr()), f.now)
		}
		if back, ok := f.send(d, to, all); ok {
			d.Collector.Apply(back, f.now)
			d.SetGrants(back.Grants, f.now)
			return
		}
	}
}

// play lets the clients together send so many times the usual for a while.
func (f *fleet) play(length time.Duration, times float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for _, d := range f.daemons {
			if !d.dead && !f.now.Before(d.next) {
				f.beat(d)
			}
			if !d.dead && !d.made.IsZero() {
				f.oldest = max(f.oldest, f.now.Sub(d.made))
			}
		}
		for left := f.rate.PerSecond * usualPart * times * step.Seconds(); left > 0; left-- {
			if left >= 1 || f.rng.Float64() < left {
				f.ask()
			}
		}
	}
}

func (f *fleet) ask() {
	c := f.rng.IntN(len(f.clients))
	for f.daemons[f.clients[c]].dead {
		f.clients[c] = f.rng.IntN(len(f.daemons))
	}
	v := f.daemons[f.clients[c]].Admit("o", f.now)
	f.asked++
	if v.Admitted {
		f.in = append(f.in, f.now.Sub(f.start))
	} else {
		f.refused++
	}
}

func (f *fleet) move(part float64) {
	for c := range f.clients {
		if f.rng.Float64() < part {
			f.clients[c] = f.rng.IntN(len(f.daemons))
		}
	}
}

// kill ends a part of the daemons, by chance.
func (f *fleet) kill(part float64) {
	for _, n := range f.rng.Perm(len(f.daemons))[:int(part*float64(len(f.daemons)))] {
		f.daemons[n].dead = true
	}
}

// settle lets the fleet find itself, and begins to measure.
func (f *fleet) settle() {
	f.play(3*time.Second, 0)
	f.oldest = 0
	for _, d := range f.daemons {
		d.answered = 0
	}
}

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

func (f *fleet) allowed() int {
	return int((f.rate.PerSecond*window.Seconds()+f.rate.Burst)*(1+overage) + slack)
}

// heardByAll counts daemons whose word is of that many daemons at least.
func (f *fleet) heardByAll(daemons int) int {
	n := 0
	for _, d := range f.daemons {
		if !d.dead && d.word.Daemons >= daemons && f.now.Sub(d.made) <= mostAge {
			n++
		}
	}
	return n
}

var sizes = []int{17, 95, 300, 1000, 3400}

func eachSize(check func(size int)) {
	for _, size := range sizes {
		Convey(fmt.Sprintf("%d daemons", size), func() { check(size) })
	}
}
