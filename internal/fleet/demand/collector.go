package demand

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/allot"
	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Collector keeps the last report of each daemon or group and their sums; it is used by one goroutine at a time.
//
// The sums are updated incrementally, not recomputed for each report: with 300 daemons and several hundred classes that would be millions
// of additions a second.
type Collector struct {
	reports    map[netip.AddrPort]storedReport
	daemons    int
	demand     map[shed.Class]float64
	retryRates map[string]repeats.Rates
	services   map[string]Service
	sweptAt    time.Time
	// fairCaps has the maximum retry rate of one daemon by service, as computed at fairCapsAt.
	fairCaps   map[string]float64
	fairCapsAt time.Time
	// grants are the retry rates that the fleet's collector granted to all daemons of this group together, as of grantsAt.
	grants   map[string]float64
	grantsAt time.Time
}

// Report is what one daemon observes, or the sum over a group of daemons.
type Report struct {
	// Daemons is the number of daemons that the report covers.
	Daemons int `msgpack:"daemons"`
	// Services has the services of the instances on the daemons' hosts.
	Services map[string]Service `msgpack:"services"`
	// Demand is the arrival rate of callers' requests at these daemons, by class.
	Demand []shed.ArrivalRate `msgpack:"lanes"`
	// RetryRates are the retries that the daemons have earned and want to send, by service.
	RetryRates map[string]repeats.Rates `msgpack:"repeats"`
}

// Service sums what is observed of instances of one service.
type Service struct {
	// Instances is the number of instances in Saturation, which leaves out those that are cold or must receive no requests.
	Instances int `msgpack:"instances"`
	// Saturation is the sum over the instances. The saturation of one instance is slots in use / slots while some are free; with all in use it is
	// one plus expected wait / wait unit (50 ms in the router), so it exceeds 1.
	Saturation float64 `msgpack:"fullness"`
	// Slots is the number of slots that can be used now.
	Slots int `msgpack:"slots"`
}

func (s Service) plus(sign int, other Service) Service {
	return Service{
		Instances:  s.Instances + sign*other.Instances,
		Saturation: s.Saturation + float64(sign)*other.Saturation,
		Slots:      s.Slots + sign*other.Slots,
	}
}

type storedReport struct {
	Report
	// group means that another collector reports on behalf of its daemons.
	group bool
	at    time.Time
}

const (
	// reportTTL is how long a report is valid if no new one arrives, several heartbeat intervals: an unreachable daemon sends nothing, and
	// the clients of its host move to other hosts.
	reportTTL = 1200 * time.Millisecond
	// sweepInterval is how often expired reports are looked for.
	sweepInterval = 300 * time.Millisecond
	// fairCapsInterval is how often the fair caps on retries are recomputed, which reads all reports.
	fairCapsInterval = 100 * time.Millisecond
	// grantsTTL is how long the grants of the fleet's collector are valid.
	grantsTTL = time.Second
)

// New returns a collector without reports.
func New() *Collector {
	return &Collector{
		reports: map[netip.AddrPort]storedReport{}, demand: map[shed.Class]float64{}, retryRates: map[string]repeats.Rates{},
		services: map[string]Service{}, fairCaps: map[string]float64{},
	}
}

// Update replaces the report of a daemon, or of the group that a collector reports on behalf of.
func (c *Collector) Update(from netip.AddrPort, group bool, report Report, now time.Time) {
	if old, ok := c.reports[from]; ok {
		c.add(old.Report, -1)
	}
	c.add(report, 1)
	c.reports[from] = storedReport{Report: report, group: group, at: now}
	if now.Sub(c.sweptAt) > sweepInterval {
		c.sweep(now)
	}
}

func (c *Collector) add(report Report, sign int) {
	c.daemons += sign * report.Daemons
	for _, rate := range report.Demand {
		c.demand[rate.Class] += float64(sign) * rate.PerSecond
	}
	for name, rates := range report.RetryRates {
		sum := c.retryRates[name]
		c.retryRates[name] = repeats.Rates{Earned: sum.Earned + float64(sign)*rates.Earned, Wanted: sum.Wanted + float64(sign)*rates.Wanted}
	}
	for name, s := range report.Services {
		c.services[name] = c.services[name].plus(sign, s)
		if sum := c.services[name]; sum.Instances == 0 && sum.Slots == 0 {
			delete(c.services, name)
		}
	}
}

func (c *Collector) sweep(now time.Time) {
	c.sweptAt = now
	for from, stored := range c.reports {
		if now.Sub(stored.at) > reportTTL {
			c.add(stored.Report, -1)
			delete(c.reports, from)
		}
	}
	maps.DeleteFunc(c.retryRates, func(_ string, rates repeats.Rates) bool { return rates.Earned < epsilon && rates.Wanted < epsilon })
	maps.DeleteFunc(c.demand, func(_ shed.Class, perSecond float64) bool { return perSecond < epsilon })
}

// epsilon is the rounding residue that adding and subtracting reports may leave in a sum.
const epsilon = 1e-6

// Aggregate returns the sum of the daemons' own reports, without those of groups. If these were included, two collectors that each take the
// other for the fleet's collector would count them over and over.
func (c *Collector) Aggregate(now time.Time) Report {
	sum := New()
	for _, from := range slices.SortedFunc(maps.Keys(c.reports), netip.AddrPort.Compare) {
		if stored := c.reports[from]; !stored.group && now.Sub(stored.at) <= reportTTL {
			sum.add(stored.Report, 1)
		}
	}
	out := Report{Daemons: sum.daemons, Services: sum.services, RetryRates: sum.retryRates}
	for class, perSecond := range sum.demand {
		out.Demand = append(out.Demand, shed.ArrivalRate{Class: class, PerSecond: perSecond})
	}
	return out
}

// IsGroup reports whether the sender's last report was for a group.
func (c *Collector) IsGroup(from netip.AddrPort) bool { return c.reports[from].group }

// Demand returns the arrival rates by class over all daemons, in requests a second. The map must not be changed and is valid until the next
// Update.
func (c *Collector) Demand() map[shed.Class]float64 { return c.demand }

// RetryRates returns the retries that the fleet has earned and wants to send, by service.
func (c *Collector) RetryRates(now time.Time) map[string]repeats.Rates {
	all := make(map[string]repeats.Rates, len(c.retryRates))
	for name := range c.retryRates {
		all[name] = c.fleetRates(name, now)
	}
	return all
}

// SetGrants applies the retry rates that the fleet's collector granted to all daemons of this group together, in retries a second.
func (c *Collector) SetGrants(grants map[string]float64, now time.Time) {
	c.grants, c.grantsAt = grants, now
}

// fleetRates returns the retry rates of all daemons that report here, where a current grant of the fleet's collector replaces what they
// have earned.
func (c *Collector) fleetRates(service string, now time.Time) repeats.Rates {
	sum := c.retryRates[service]
	if grant, ok := c.grants[service]; ok && now.Sub(c.grantsAt) <= grantsTTL {
		sum.Earned = grant
	}
	return sum
}

// Grants returns the retry rate granted to the given number of daemons for each service that they name, in retries a second.
func (c *Collector) Grants(retryRates map[string]repeats.Rates, daemons int, now time.Time) map[string]float64 {
	if now.Sub(c.fairCapsAt) > fairCapsInterval {
		c.fairCapsAt = now
		c.computeFairCaps(now)
	}
	all := make(map[string]float64, len(retryRates))
	for name, rates := range retryRates {
		fairCap, ok := c.fairCaps[name]
		if !ok {
			fairCap = math.Inf(1)
		}
		all[name] = repeats.Grant(c.fleetRates(name, now), rates, fairCap*float64(daemons))
	}
	return all
}

// computeFairCaps computes the maximum retry rate of one daemon for each service whose daemons want at least as many retries as are available.
func (c *Collector) computeFairCaps(now time.Time) {
	clear(c.fairCaps)
	wanted := map[string][]float64{}
	for _, stored := range c.reports {
		for name, rates := range stored.RetryRates {
			// The daemons of a group are assumed to want equally many.
			if sum := c.fleetRates(name, now); sum.Wanted >= sum.Earned {
				wanted[name] = append(wanted[name], slices.Repeat([]float64{rates.Wanted / float64(stored.Daemons)}, stored.Daemons)...)
			}
		}
	}
	for name, perDaemon := range wanted {
		c.fairCaps[name] = repeats.FairCap(perDaemon, c.fleetRates(name, now).Earned)
	}
}

// Services returns the mean saturation of each service's instances, where any is known, and the number of their usable slots.
func (c *Collector) Services() (saturation, slots map[string]float64) {
	saturation, slots = map[string]float64{}, map[string]float64{}
	for name, s := range c.services {
		if s.Instances > 0 {
			saturation[name] = s.Saturation / float64(s.Instances)
		}
		slots[name] = float64(s.Slots)
	}
	return saturation, slots
}

// Instances returns the instances with usable slots, by service and in the order of their hosts, so that sums over them are always the
// same. A group's instances count as one, on the host of the group's collector.
func (c *Collector) Instances() map[string][]allot.Instance {
	all := make(map[string][]allot.Instance, len(c.services))
	for from, stored := range c.reports {
		for name, s := range stored.Services {
			if s.Slots > 0 {
				all[name] = append(all[name], allot.Instance{Host: from.Addr(), Slots: float64(s.Slots)})
			}
		}
	}
	for _, instances := range all {
		slices.SortFunc(instances, func(a, b allot.Instance) int { return a.Host.Compare(b.Host) })
	}
	return all
}

// Daemons returns the number of daemons that the reports cover.
func (c *Collector) Daemons() int { return c.daemons }
