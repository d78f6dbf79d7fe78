package mesh

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/choice"
	"github.com/foxtailhook/foxtailhook/internal/decide/lineage"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/load/virtual"
)

const (
	// oneWay is the time between two hosts, and clientWay between a caller and its daemon.
	oneWay    = 500 * time.Microsecond
	clientWay = time.Millisecond
	// spread is the deviation of the work of a run, as a part of its mean.
	spread = 0.4
)

// fleet is a scene at work.
type fleet struct {
	scene  Scene
	clock  virtual.Clock
	start  time.Time
	random *rand.Rand
	routes map[string]*Route
	hosts  []*host
	result Result
	// instances are those listed, by service.
	instances map[string][]routing.Instance
	byID      map[string]*host

	collector *collect.Collector
}

// quiet takes no notes.
type quiet struct{}

func (quiet) PlanLimited([]allot.Shortage, int) {}

func (quiet) DaemonLeaving(netip.Addr) {}

// Play runs the scene for a while and tells what came of the callers' requests.
func Play(s Scene, length time.Duration) Result {
	f := newFleet(s)
	for _, r := range s.Routes {
		if r.PerSecond > 0 {
			f.arrive(&r, f.start.Add(length))
		}
	}
	for _, h := range f.hosts {
		f.clock.After(time.Duration(f.random.Float64()*float64(collect.Interval)), h.beat)
	}
	f.clock.Run(f.start.Add(length))
	return f.result
}

func newFleet(s Scene) *fleet {
	f := &fleet{
		scene: s, random: rand.New(rand.NewPCG(s.Seed, 1)), routes: map[string]*Route{}, result: Result{Routes: map[string]*Tally{}, Services: map[string][]Sent{}},
		instances: map[string][]routing.Instance{}, byID: map[string]*host{},
		collector: collect.New(quiet{}, s.Without),
	}
	f.clock.Now = time.Unix(1000, 0)
	f.start = f.clock.Now
	for i := range s.Routes {
		r := &s.Routes[i]
		f.routes[r.Name] = r
	}
	for _, service := range s.Services {
		for n, speed := range service.Speeds {
			f.add(service, n, speed)
		}
	}
	for _, h := range f.hosts {
		h.repeats.SetDaemons(len(f.hosts))
	}
	return f
}

func (f *fleet) add(s Service, n int, speed float64) {
	zone := fmt.Sprintf("zone-%d", n%f.scene.Zones)
	at := netip.AddrFrom4([4]byte{10, 0, byte(len(f.hosts) >> 8), byte(len(f.hosts))})
	instance := routing.Instance{
		ID: fmt.Sprintf("%s-%d", s.Name, n), Service: s.Name, Zone: zone, Address: netip.AddrPortFrom(at, 80), Slots: s.Slots, Born: f.start,
	}
	h := &host{
		fleet: f, instance: instance, speed: speed, ordinal: n, of: len(s.Speeds),
		shedder: shed.New(shed.WithRand(f.random.Float64), shed.Without(f.scene.Without)), chooser: choice.New(zone, choice.WithRand(f.random.Float64), choice.Without(f.scene.Without)),
		repeats: repeats.New(f.scene.Repeats), gate: newGate(s.Slots), runs: lineage.New(lineage.WithRand(f.random.Float64)), held: map[string]allot.HoldTime{},
	}
	f.hosts = append(f.hosts, h)
	f.byID[instance.ID] = h
	f.instances[s.Name] = append(f.instances[s.Name], instance)
}

// without reports whether the mechanism is switched off.
func (f *fleet) without(m mechanism.Mechanism) bool { return f.scene.Without.Has(m) }

func (f *fleet) now() time.Time { return f.clock.Now }

// second is the one of the scene that it is.
func (f *fleet) second() int { return int(f.now().Sub(f.start).Seconds()) }

// trouble returns the strongest of what befalls the service now.
func (f *fleet) trouble(service string, strength func(*Trouble) float64) float64 {
	worst := 0.0
	at := f.now().Sub(f.start)
	for i := range f.scene.Troubles {
		if t := &f.scene.Troubles[i]; t.Service == service && t.active(at) {
			worst = max(worst, strength(t))
		}
	}
	return worst
}

// vary returns a time around the mean.
func (f *fleet) vary(mean time.Duration) time.Duration {
	deviation := math.Sqrt(math.Log(1 + spread*spread))
	return time.Duration(float64(mean) * math.Exp(f.random.NormFloat64()*deviation-deviation*deviation/2))
}

// shares sends each route to its one service.
func (f *fleet) shares(route string) map[string]float64 {
	r, known := f.routes[route]
	if !known {
		return nil
	}
	return map[string]float64{r.Service: 1}
}
