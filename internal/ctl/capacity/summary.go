package capacity

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Range has the middle and the highest of several values.
type Range struct {
	Middle float64 `json:"middle"`
	Most   float64 `json:"most"`
}

// RoleUsage is what the daemons of one role use.
type RoleUsage struct {
	Role    Role `json:"role"`
	Daemons int  `json:"daemons"`
	// CPUPercent is the part of a core, MemoryMB the memory in megabytes.
	CPUPercent Range `json:"cpuPercent"`
	MemoryMB   Range `json:"memoryMb"`
	// Heartbeats are those received, and StoreCalls the calls to the configuration store, per second.
	Heartbeats Range `json:"heartbeats"`
	StoreCalls Range `json:"storeCalls"`
	// ControlKB is what is sent and received other than requests, TrafficKB all of it, in kilobytes per second.
	ControlKB   Range `json:"controlKb"`
	TrafficKB   Range `json:"trafficKb"`
	Connections Range `json:"connections"`
}

// Spread says how long a version of the configuration took from the first host to others.
type Spread struct {
	Version  uint64 `json:"version"`
	Daemons  int    `json:"daemons"`
	MiddleMs int64  `json:"middleMs"`
	LastMs   int64  `json:"lastMs"`
}

// Summary is the table of a fleet.
type Summary struct {
	Roles   []RoleUsage `json:"roles"`
	Changes []Spread    `json:"changes"`
}

// Summary returns what the daemons have used since their starts, and how long the versions of the configuration took to reach them.
func (l *Logs) Summary() Summary {
	byRole := map[Role][]usage{}
	for _, u := range l.usages {
		byRole[u.role()] = append(byRole[u.role()], u)
	}
	var s Summary
	for _, role := range Roles {
		if len(byRole[role]) > 0 {
			s.Roles = append(s.Roles, summarize(role, byRole[role]))
		}
	}
	for _, version := range slices.Sorted(maps.Keys(l.reached)) {
		if version > 0 {
			s.Changes = append(s.Changes, spreadOf(version, l.reached[version]))
		}
	}
	return s
}

func summarize(role Role, usages []usage) RoleUsage {
	perSecond := func(total func(u *usage) float64) Range {
		return rangeOf(usages, func(u *usage) float64 { return total(u) * 1000 / max(u.UpMs, 1) })
	}
	return RoleUsage{
		Role: role, Daemons: len(usages),
		CPUPercent:  perSecond(func(u *usage) float64 { return u.CPUMs / 10 }),
		MemoryMB:    rangeOf(usages, func(u *usage) float64 { return u.MemoryKB / 1024 }),
		Heartbeats:  perSecond(func(u *usage) float64 { return u.Heartbeats }),
		StoreCalls:  perSecond(func(u *usage) float64 { return u.StoreCalls }),
		ControlKB:   perSecond(func(u *usage) float64 { return u.ControlSentKB + u.ControlReceivedKB }),
		TrafficKB:   perSecond(func(u *usage) float64 { return u.SentKB + u.ReceivedKB }),
		Connections: rangeOf(usages, func(u *usage) float64 { return u.Connections }),
	}
}

func rangeOf(usages []usage, value func(u *usage) float64) Range {
	values := make([]float64, 0, len(usages))
	for i := range usages {
		values = append(values, value(&usages[i]))
	}
	slices.Sort(values)
	return Range{Middle: values[len(values)/2], Most: values[len(values)-1]}
}

func spreadOf(version uint64, reached map[string]time.Time) Spread {
	times := slices.SortedFunc(maps.Values(reached), time.Time.Compare)
	return Spread{
		Version: version, Daemons: len(times), MiddleMs: times[len(times)/2].Sub(times[0]).Milliseconds(),
		LastMs: times[len(times)-1].Sub(times[0]).Milliseconds(),
	}
}

// Print writes the summary as two tables. Each cell has the middle and the highest value.
func (s Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tdaemons\tcpu %\tmemory MB\theartbeats/s\tstore calls/s\tcontrol kB/s\ttraffic kB/s\tconnections")
	for _, r := range s.Roles {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Role, r.Daemons, r.CPUPercent, r.MemoryMB, r.Heartbeats, r.StoreCalls, r.ControlKB, r.TrafficKB, r.Connections)
	}
	fmt.Fprintln(table, "\nversion\tdaemons\tmiddle ms\tlast ms")
	for _, c := range s.Changes {
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\n", c.Version, c.Daemons, c.MiddleMs, c.LastMs)
	}
	return table.Flush()
}

// String returns the middle and the highest value.
func (r Range) String() string { return fmt.Sprintf("%.1f / %.1f", r.Middle, r.Most) }
