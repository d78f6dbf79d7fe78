package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// FanOut returns a fleet in which most requests fan out to eight sub-calls of one small service at the end of the call graph: a
// lookup checks two sessions, an unlock reads two indexes, each session check reads one index, and each index reads four
// entries of the directory, which also serves maps.
func FanOut(seed uint64) Scenario {
	limits := repeats.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	return Scenario{
		Zones: 3, RetryLimits: limits, Seed: seed,
		Services: []Service{
			{Name: "lookups", WorkFactors: []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7}, Slots: 79},
			{Name: "lockers", WorkFactors: []float64{0.6, 1, 1.4, 0.6}, Slots: 138},
			{Name: "files", WorkFactors: []float64{0.6, 1, 1.4}, Slots: 185},
			{Name: "directory", WorkFactors: []float64{0.7, 0.7, 1.6}, Slots: 45},
		},
		Routes: []Route{
			{
				Name: "lookup", Service: "lookups", ArrivalRate: 340, Work: 160 * time.Millisecond, Subcalls: []Subcall{{"session", 2, true}},
				Rank: rank(2), Target: 1500 * time.Millisecond, Timeout: time.Second, Patience: 5 * time.Second, Attempts: 3,
			},
			{
				Name: "unlock", Service: "lockers", ArrivalRate: 93, Work: 210 * time.Millisecond, Subcalls: []Subcall{{"index", 2, true}},
				Rank: rank(0), Target: 1500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Patience: 5 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{
				Name: "file", Service: "files", ArrivalRate: 44, Work: 130 * time.Millisecond,
				Rank: rank(2), Target: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, Patience: 1500 * time.Millisecond, Attempts: 3,
			},
			{
				Name: "map", Service: "directory", ArrivalRate: 82, Work: 64 * time.Millisecond,
				Rank: rank(1), Target: 200 * time.Millisecond, Timeout: 800 * time.Millisecond, Patience: 800 * time.Millisecond, Attempts: 3,
			},
			{Name: "session", Service: "lockers", Work: 15 * time.Millisecond, Subcalls: []Subcall{{"index", 1, false}}, Timeout: 2500 * time.Millisecond, Attempts: 3},
			{Name: "index", Service: "files", Work: 15 * time.Millisecond, Subcalls: []Subcall{{"entry", 4, false}}, Timeout: 2 * time.Second, Attempts: 3},
			{Name: "entry", Service: "directory", Work: 40 * time.Millisecond, Timeout: 700 * time.Millisecond, Attempts: 3},
		},
	}
}

// Chain returns a fleet of about a hundred instances in which lookups and notices lead, through the services between, to four
// sequential sub-calls of a small service at the end; confirmations call that service directly.
func Chain(seed uint64) Scenario {
	const ms = time.Millisecond
	return Scenario{
		Zones: 5, RetryLimits: repeats.Limits{Ratio: 0.2, Slack: 124, Window: 10 * time.Second}, Seed: seed,
		Services: []Service{
			{Name: "lookups", WorkFactors: mixedWorkFactors(48), Slots: 22},
			{Name: "dispatch", WorkFactors: mixedWorkFactors(33), Slots: 22},
			{Name: "campaigns", WorkFactors: mixedWorkFactors(9), Slots: 47},
			{Name: "records", WorkFactors: mixedWorkFactors(5), Slots: 29},
		},
		Routes: []Route{
			{
				Name: "lookup", Service: "lookups", ArrivalRate: 194, Work: 224 * ms, Subcalls: []Subcall{{"address", 1, true}},
				Rank: rank(2), Target: 1500 * ms, Timeout: 1500 * ms, Patience: 5 * time.Second, Attempts: 3,
			},
			{
				Name: "notice", Service: "dispatch", ArrivalRate: 73, Work: 295 * ms, Subcalls: []Subcall{{"range", 1, false}},
				Rank: rank(0), Target: 2 * time.Second, Timeout: 2 * time.Second, Patience: 5 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{
				Name: "upload", Service: "campaigns", ArrivalRate: 20, Work: 258 * ms,
				Rank: rank(1), Target: 1200 * ms, Timeout: 3 * time.Second, Patience: 5 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{
				Name: "confirm", Service: "records", ArrivalRate: 24, Work: 181 * ms,
				Rank: rank(2), Target: 600 * ms, Timeout: 1200 * ms, Patience: 2500 * ms, Attempts: 3, AtMostOnce: true,
			},
			{Name: "address", Service: "dispatch", Work: 15 * ms, Subcalls: []Subcall{{"range", 1, false}}, Timeout: 2500 * ms, Attempts: 3},
			{Name: "range", Service: "campaigns", Work: 15 * ms, Subcalls: []Subcall{{"history", 4, false}}, Timeout: 2 * time.Second, Attempts: 3},
			{Name: "history", Service: "records", Work: 55 * ms, Timeout: 700 * ms, Attempts: 3},
		},
	}
}

// DeepChain returns a fleet whose requests have turned to the most expensive kind: most are notices, each of which leads to eight sub-calls of
// the small service at the end, two chains of four. Instances that restart are cold.
func DeepChain(seed uint64) Scenario {
	const ms = time.Millisecond
	scenario := Scenario{
		Zones: 3, RetryLimits: repeats.Limits{Ratio: 0.2, Slack: 107, Window: 10 * time.Second}, Seed: seed,
		Services: []Service{
			{Name: "lookups", WorkFactors: mixedWorkFactors(24), Slots: 100},
			{Name: "dispatch", WorkFactors: mixedWorkFactors(38), Slots: 72},
			{Name: "campaigns", WorkFactors: mixedWorkFactors(8), Slots: 301},
			{Name: "records", WorkFactors: []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6}, Slots: 110},
		},
		Routes: []Route{
			{
				Name: "lookup", Service: "lookups", ArrivalRate: 703, Work: 170 * ms, Subcalls: []Subcall{{"address", 1, true}},
				Rank: rank(2), Target: 1500 * ms, Timeout: 1200 * ms, Patience: 5 * time.Second, Attempts: 3,
			},
			{
				Name: "notice", Service: "dispatch", ArrivalRate: 803, Work: 220 * ms, Subcalls: []Subcall{{"range", 2, true}},
				Rank: rank(0), Target: 1500 * ms, Timeout: 1500 * ms, Patience: 5 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{
				Name: "upload", Service: "campaigns", ArrivalRate: 70, Work: 200 * ms,
				Rank: rank(1), Target: time.Second, Timeout: 3 * time.Second, Patience: 4 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{
				Name: "confirm", Service: "records", ArrivalRate: 261, Work: 140 * ms,
				Rank: rank(2), Target: 500 * ms, Timeout: time.Second, Patience: 2 * time.Second, Attempts: 3, AtMostOnce: true,
			},
			{Name: "address", Service: "dispatch", Work: 15 * ms, Subcalls: []Subcall{{"range", 1, false}}, Timeout: 2500 * ms, Attempts: 3},
			{Name: "range", Service: "campaigns", Work: 15 * ms, Subcalls: []Subcall{{"history", 4, false}}, Timeout: 2 * time.Second, Attempts: 3},
			{Name: "history", Service: "records", Work: 42 * ms, Timeout: 700 * ms, Attempts: 3},
		},
	}
	for i := range scenario.Services {
		scenario.Services[i].ColdStart, scenario.Services[i].ColdRate = 3*time.Second, 14
	}
	return scenario
}

// mixedWorkFactors returns work time factors for count instances, which cycle through 0.5, 1, 1 and 1.5.
func mixedWorkFactors(count int) []float64 {
	all := make([]float64, count)
	for n := range all {
		all[n] = []float64{0.5, 1, 1, 1.5}[n%4]
	}
	return all
}

// Load is a set of faults with the interval in which results are counted.
type Load struct {
	Name   string
	Faults []Fault
	// From and To bound the interval in which results are counted.
	From, To time.Duration
}

// Loads returns the loads under which policies are compared.
func Loads() []Load {
	const from, to = 4 * time.Second, 12 * time.Second
	fault := func(f Fault) []Fault {
		f.From, f.Duration = 2*time.Second, 10*time.Second
		return []Fault{f}
	}
	surge := fault(Fault{SurgeFactor: 1.7})
	sheds := []Fault{{From: 10 * time.Second, Duration: 8 * time.Second, Service: "directory", DeclineFraction: 0.55}}
	lost := []Fault{{From: 10 * time.Second, Duration: 8 * time.Second, Service: "directory", LossFraction: 0.2}}
	return []Load{
		{"calm", nil, from, to},
		{"surge", surge, from, to},
		{"sheds", sheds, 11 * time.Second, 17 * time.Second},
		{"lost", lost, 11 * time.Second, 17 * time.Second},
		{"slow", fault(Fault{Service: "files", SlowFactor: 4}), from, to},
	}
}

func rank(r int) shed.Rank { return shed.Rank{Organisation: r, Route: r} }
