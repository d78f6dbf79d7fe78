package mesh

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/decide/shares"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
	"github.com/foxtailhook/foxtailhook/internal/fleet/collect"
	"github.com/foxtailhook/foxtailhook/internal/load/virtual"
)

const (
	// hostDelay is the one-way delay between two hosts, and clientDelay that between a caller and its daemon.
	hostDelay   = 500 * time.Microsecond
	clientDelay = time.Millisecond
	// workDeviation is the standard deviation of a request's work time, as a fraction of the mean.
	workDeviation = 0.4
)

// fleet is the state of a running simulation.
type fleet struct {
	scenario     Scenario
	clock        virtual.Clock
	start        time.Time
	random       *rand.Rand
	routesByName map[string]*Route
	hosts        []*host
	result       Result
	// instances holds the registered instances by service.
	instances map[string][]routing.Instance
	byID      map[string]*host
	// started is the number of executions so far, contents that of the different contents, and crashes that of the reported crashes.
	started, contents, crashes int

	collector *collect.Collector
}

// noopObserver discards the collector's notifications.
type noopObserver struct{}

func (noopObserver) PlanLimited([]allot.Shortage, int) {}

func (noopObserver) OrganisationSurges(shares.Surge) {}

func (noopObserver) RatesLimited(collect.RateLimits) {}

func (noopObserver) DaemonLeaving(netip.Addr) {}

// Simulate simulates the scenario for the given virtual time and returns the results of the callers' requests.
func Simulate(scenario Scenario, length time.Duration) Result {
	f := newFleet(scenario)
	for _, r := range scenario.Routes {
		if r.ArrivalRate > 0 {
			f.scheduleArrivals(&r, f.start.Add(length))
		}
	}
	for _, h := range f.hosts {
		f.clock.After(time.Duration(f.random.Float64()*float64(collect.Interval)), h.sendHeartbeat)
	}
	f.scheduleRestarts()
	f.scheduleLimits()
	f.clock.Run(f.start.Add(length))
	return f.result
}

func newFleet(scenario Scenario) *fleet {
	f := &fleet{
		scenario: scenario, random: rand.New(rand.NewPCG(scenario.Seed, 1)), routesByName: map[string]*Route{}, result: Result{Routes: map[string]*Counts{}, Services: map[string][]Sent{}, Crashes: map[string]int{}},
		instances: map[string][]routing.Instance{}, byID: map[string]*host{},
		collector: collect.New(noopObserver{}, scenario.Without),
	}
	f.clock.Now = time.Unix(1000, 0)
	f.start = f.clock.Now
	for i := range scenario.Routes {
		r := &scenario.Routes[i]
		f.routesByName[r.Name] = r
	}
	for _, service := range scenario.Services {
		for n, workFactor := range service.WorkFactors {
			f.addInstance(service, n, workFactor)
		}
	}
	return f
}

func (f *fleet) addInstance(service Service, n int, workFactor float64) {
	zone := fmt.Sprintf("zone-%d", n%f.scenario.Zones)
	address := netip.AddrFrom4([4]byte{10, 0, byte(len(f.hosts) >> 8), byte(len(f.hosts))})
	instance := routing.Instance{
		ColdRate: service.ColdRate,
		ID:       fmt.Sprintf("%s-%d", service.Name, n), Service: service.Name, Zone: zone, Address: netip.AddrPortFrom(address, 80), Slots: service.Slots, Born: f.start,
	}
	h := &host{
		fleet: f, instance: instance, service: service, workFactor: workFactor, ordinal: n, serviceSize: len(service.WorkFactors),
		restartState: restartState{active: map[*execution]bool{}},
	}
	h.startDaemon()
	f.hosts = append(f.hosts, h)
	f.byID[instance.ID] = h
	f.instances[service.Name] = append(f.instances[service.Name], instance)
}

// without reports whether the mechanism is disabled.
func (f *fleet) without(m mechanism.Mechanism) bool { return f.scenario.Without.Has(m) }

func (f *fleet) now() time.Time { return f.clock.Now }

// second returns the number of whole seconds since the start.
func (f *fleet) second() int { return int(f.now().Sub(f.start).Seconds()) }

// faultLevel returns the highest strength among the faults of the service that are active now, 0 without any.
func (f *fleet) faultLevel(service string, strength func(*Fault) float64) float64 {
	highest := 0.0
	elapsed := f.now().Sub(f.start)
	for i := range f.scenario.Faults {
		if fault := &f.scenario.Faults[i]; fault.Service == service && fault.active(elapsed) {
			highest = max(highest, strength(fault))
		}
	}
	return highest
}

// sampleWork draws a work time from a log-normal distribution with the given mean.
func (f *fleet) sampleWork(mean time.Duration) time.Duration {
	deviation := math.Sqrt(math.Log(1 + workDeviation*workDeviation))
	return time.Duration(float64(mean) * math.Exp(f.random.NormFloat64()*deviation-deviation*deviation/2))
}

// shares returns, for each route, all of its requests for its one service.
func (f *fleet) shares(route string) map[string]float64 {
	r, known := f.routesByName[route]
	if !known {
		return nil
	}
	return map[string]float64{r.Service: 1}
}
