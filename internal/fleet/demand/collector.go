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
// Sums are kept and not made anew for each report: with 300 daemons and some hundred lanes that would be
// millions of additions a second.
type Collector struct {
	reports  map[netip.AddrPort]stored
	daemons  int
	lanes    map[shed.Class]float64
	repeats  map[string]repeats.Rates
	services map[string]Service
	swept    time.Time
	// most is the most that one daemon gets of a service's repeats, as of leveled.
	most    map[string]float64
	leveled time.Time
	// lent is what the daemons here may repeat together by the word of the fleet's collector, as of lentAt.
	lent   map[string]float64
	lentAt time.Time
}

// Report is what one daemon sees, or a group of them.
type Report struct {
	// Daemons is how many the report is of.
	Daemons int `msgpack:"daemons"`
	// Services are those of the instances beside them.
	Services map[string]Service `msgpack:"services"`
	// Demand is what callers ask for there.
	Demand []shed.Rate `msgpack:"lanes"`
	// RetryRates are what the daemons may and would like to send once more to each service.
	RetryRates map[string]repeats.Rates `msgpack:"repeats"`
}

// Service is what is seen of instances of one service.
type Service struct {
	Instances int `msgpack:"instances"`
	// Saturation adds up, over the instances, the part of their slots in use, above 1 by how long requests wait.
	Saturation float64 `msgpack:"fullness"`
	// Slots are those that can be used now.
	Slots int `msgpack:"slots"`
}

func (s Service) plus(sign int, other Service) Service {
	return Service{
		Instances:  s.Instances + sign*other.Instances,
		Saturation: s.Saturation + float64(sign)*other.Saturation,
		Slots:      s.Slots + sign*other.Slots,
	}
}

type stored struct {
	Report
	// group means that another collector speaks for its daemons.
	group bool
	at    time.Time
}

const (
	// reportTime is how long a report counts without a new one, some gaps between two: a daemon that is gone sends nothing, and the
	// clients of its host go elsewhere.
	reportTime = 1200 * time.Millisecond
	// sweepEvery is how often old reports are looked for.
	sweepEvery = 300 * time.Millisecond
	// levelEvery is how often it is worked out what one daemon may repeat at most: it takes a look at all reports.
	levelEvery = 100 * time.Millisecond
	// lentTime is how long that counts.
	lentTime = time.Second
)

// New returns a collector without reports.
func New() *Collector {
	return &Collector{
		reports: map[netip.AddrPort]stored{}, lanes: map[shed.Class]float64{}, repeats: map[string]repeats.Rates{},
		services: map[string]Service{}, most: map[string]float64{},
	}
}

// Update replaces the report of the daemon, or of the group that a collector speaks for.
func (c *Collector) Update(from netip.AddrPort, group bool, r Report, now time.Time) {
	if old, known := c.reports[from]; known {
		c.add(old.Report, -1)
	}
	c.add(r, 1)
	c.reports[from] = stored{Report: r, group: group, at: now}
	if now.Sub(c.swept) > sweepEvery {
		c.sweep(now)
	}
}

func (c *Collector) add(r Report, sign int) {
	c.daemons += sign * r.Daemons
	for _, l := range r.Demand {
		c.lanes[l.Class] += float64(sign) * l.PerSecond
	}
	for name, own := range r.RetryRates {
		sum := c.repeats[name]
		c.repeats[name] = repeats.Rates{Earned: sum.Earned + float64(sign)*own.Earned, Wanted: sum.Wanted + float64(sign)*own.Wanted}
	}
	for name, s := range r.Services {
		c.services[name] = c.services[name].plus(sign, s)
		if c.services[name].Instances == 0 {
			delete(c.services, name)
		}
	}
}

func (c *Collector) sweep(now time.Time) {
	c.swept = now
	for from, r := range c.reports {
		if now.Sub(r.at) > reportTime {
			c.add(r.Report, -1)
			delete(c.reports, from)
		}
	}
	maps.DeleteFunc(c.repeats, func(_ string, w repeats.Rates) bool { return w.Earned < rounding && w.Wanted < rounding })
	maps.DeleteFunc(c.lanes, func(_ shed.Class, d float64) bool { return d < rounding })
}

// rounding is what sums and differences of reports may leave over.
const rounding = 1e-6

// Aggregate returns the sum of the daemons' own reports, without those of groups: were these passed on too, two collectors that
// each take the other for that of the fleet would count them ever again.
func (c *Collector) Aggregate(now time.Time) Report {
	sum := New()
	for _, from := range slices.SortedFunc(maps.Keys(c.reports), netip.AddrPort.Compare) {
		if r := c.reports[from]; !r.group && now.Sub(r.at) <= reportTime {
			sum.add(r.Report, 1)
		}
	}
	out := Report{Daemons: sum.daemons, Services: sum.services, RetryRates: sum.repeats}
	for l, perSecond := range sum.lanes {
		out.Demand = append(out.Demand, shed.Rate{Class: l, PerSecond: perSecond})
	}
	return out
}

// IsGroup reports whether the last report of the sender was for a group.
func (c *Collector) IsGroup(from netip.AddrPort) bool { return c.reports[from].group }

// Demand returns what callers ask for over all daemons, in requests a second; it must not be changed, and holds until the next report.
func (c *Collector) Demand() map[shed.Class]float64 { return c.lanes }

// RetryRates returns what the fleet may and would like to send once more to each service.
func (c *Collector) RetryRates(now time.Time) map[string]repeats.Rates {
	all := make(map[string]repeats.Rates, len(c.repeats))
	for name := range c.repeats {
		all[name] = c.together(name, now)
	}
	return all
}

// SetGrants takes in what the daemons here may send once more together, in repeats a second, by the word of the fleet's collector.
func (c *Collector) SetGrants(all map[string]float64, now time.Time) { c.lent, c.lentAt = all, now }

// together is what all daemons here may and would like to send once more to a service.
func (c *Collector) together(service string, now time.Time) repeats.Rates {
	sum := c.repeats[service]
	if lent, known := c.lent[service]; known && now.Sub(c.lentAt) <= lentTime {
		sum.Earned = lent
	}
	return sum
}

// Grants returns what so many daemons may send once more to each service that they name, in repeats a second.
func (c *Collector) Grants(own map[string]repeats.Rates, daemons int, now time.Time) map[string]float64 {
	if now.Sub(c.leveled) > levelEvery {
		c.leveled = now
		c.level(now)
	}
	all := make(map[string]float64, len(own))
	for name, w := range own {
		most, known := c.most[name]
		if !known {
			most = math.Inf(1)
		}
		all[name] = repeats.Grant(c.together(name, now), w, most*float64(daemons))
	}
	return all
}

// level works out the most that one daemon gets of each service's repeats, where there are fewer than all would like to send.
func (c *Collector) level(now time.Time) {
	clear(c.most)
	wanted := map[string][]float64{}
	for _, r := range c.reports {
		for name, w := range r.RetryRates {
			// A group's are taken to want alike.
			if sum := c.together(name, now); sum.Wanted >= sum.Earned {
				wanted[name] = append(wanted[name], slices.Repeat([]float64{w.Wanted / float64(r.Daemons)}, r.Daemons)...)
			}
		}
	}
	for name, all := range wanted {
		c.most[name] = repeats.FairCap(all, c.together(name, now).Earned)
	}
}

// Services returns the mean fullness of each service's instances, and the slots of those that can be used.
func (c *Collector) Services() (fullness, slots map[string]float64) {
	fullness, slots = map[string]float64{}, map[string]float64{}
	for name, s := range c.services {
		fullness[name] = s.Saturation / float64(s.Instances)
		slots[name] = float64(s.Slots)
	}
	return fullness, slots
}

// Instances returns those whose slots are counted, by service and in the order of their hosts, so that sums over them are always the same.
// A group's count as one on the host that speaks for it.
func (c *Collector) Instances() map[string][]allot.Instance {
	all := make(map[string][]allot.Instance, len(c.services))
	for from, r := range c.reports {
		for name, s := range r.Services {
			if s.Slots > 0 {
				all[name] = append(all[name], allot.Instance{Host: from.Addr(), Slots: float64(s.Slots)})
			}
		}
	}
	for _, of := range all {
		slices.SortFunc(of, func(a, b allot.Instance) int { return a.Host.Compare(b.Host) })
	}
	return all
}

// Daemons returns how many daemons the reports are of.
func (c *Collector) Daemons() int { return c.daemons }
