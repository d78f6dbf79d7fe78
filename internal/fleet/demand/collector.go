package demand

import (
	"net/netip"
	"time"
)

// Collector keeps the last report of each daemon and their sums; it is used by one goroutine at a time.
//
// Sums are kept and not made anew for each report: with 300 daemons and 80 organisations that would be
// millions of additions a second.
type Collector struct {
	reports map[netip.AddrPort]report
	totals  map[string]float64
	swept   time.Time
}

type report struct {
	demand map[string]float64
	at     time.Time
}

const (
	// reportTime is how long a report counts without a new one: a daemon that is gone sends nothing, and the clients of its
	// host go elsewhere.
	reportTime = 2 * time.Second
	// sweepEvery is how often old reports are looked for.
	sweepEvery = 500 * time.Millisecond
)

// New returns a collector without reports.
func New() *Collector {
	return &Collector{reports: map[netip.AddrPort]report{}, totals: map[string]float64{}}
}

// Report replaces the daemon's report.
func (c *Collector) Report(from netip.AddrPort, demand map[string]float64, now time.Time) {
	c.add(c.reports[from].demand, -1)
	c.add(demand, 1)
	c.reports[from] = report{demand: demand, at: now}
	if now.Sub(c.swept) > sweepEvery {
		c.sweep(now)
	}
}

func (c *Collector) add(demand map[string]float64, sign float64) {
	for name, d := range demand {
		c.totals[name] += sign * d
	}
}

func (c *Collector) sweep(now time.Time) {
	c.swept = now
	for from, r := range c.reports {
		if now.Sub(r.at) > reportTime {
			c.add(r.demand, -1)
			delete(c.reports, from)
		}
	}
	for name, d := range c.totals {
		if d < rounding {
			delete(c.totals, name)
		}
	}
}

// rounding is what sums and differences of reports may leave over.
const rounding = 1e-6

// Totals returns the sums of the organisations that are named.
func (c *Collector) Totals(named map[string]float64) map[string]float64 {
	all := make(map[string]float64, len(named))
	for name := range named {
		all[name] = c.totals[name]
	}
	return all
}

// Daemons returns how many daemons have reported lately.
func (c *Collector) Daemons(now time.Time) int {
	n := 0
	for _, r := range c.reports {
		if now.Sub(r.at) <= reportTime {
			n++
		}
	}
	return n
}
