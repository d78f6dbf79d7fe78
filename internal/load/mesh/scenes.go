package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// Fan is a fleet in which most requests lead to eight calls of one small service at the end of the chain: a lookup checks two
// sessions, an unlock reads two indexes, and each index reads four entries of the directory, which maps are read from too.
func Fan(seed uint64) Scene {
	bounds := repeats.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	return Scene{
		Zones: 3, Repeats: bounds, Seed: seed,
		Services: []Service{
			{Name: "lookups", Speeds: []float64{0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7}, Slots: 79},
			{Name: "lockers", Speeds: []float64{0.6, 1, 1.4, 0.6}, Slots: 138},
			{Name: "files", Speeds: []float64{0.6, 1, 1.4}, Slots: 185},
			{Name: "directory", Speeds: []float64{0.7, 0.7, 1.6}, Slots: 45},
		},
		Routes: []Route{
			{
				Name: "lookup", Service: "lookups", PerSecond: 340, Work: 160 * time.Millisecond, Calls: []Call{{"session", 2, true}},
				Rank: rank(2), Target: 1500 * time.Millisecond, Timeout: time.Second, Patience: 5 * time.Second, Attempts: 3,
			},
			{
				Name: "unlock", Service: "lockers", PerSecond: 93, Work: 210 * time.Millisecond, Calls: []Call{{"index", 2, true}},
				Rank: rank(0), Target: 1500 * time.Millisecond, Timeout: 1200 * time.Millisecond, Patience: 5 * time.Second, Attempts: 3, Once: true,
			},
			{
				Name: "file", Service: "files", PerSecond: 44, Work: 130 * time.Millisecond,
				Rank: rank(2), Target: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, Patience: 1500 * time.Millisecond, Attempts: 3,
			},
			{
				Name: "map", Service: "directory", PerSecond: 82, Work: 64 * time.Millisecond,
				Rank: rank(1), Target: 200 * time.Millisecond, Timeout: 800 * time.Millisecond, Patience: 800 * time.Millisecond, Attempts: 3,
			},
			{Name: "session", Service: "lockers", Work: 15 * time.Millisecond, Calls: []Call{{"index", 1, false}}, Timeout: 2500 * time.Millisecond, Attempts: 3},
			{Name: "index", Service: "files", Work: 15 * time.Millisecond, Calls: []Call{{"entry", 4, false}}, Timeout: 2 * time.Second, Attempts: 3},
			{Name: "entry", Service: "directory", Work: 40 * time.Millisecond, Timeout: 700 * time.Millisecond, Attempts: 3},
		},
	}
}

// Chain is a fleet of a hundred in which lookups and notices lead, through two services each, to four calls one after the other of a small
// service at the end, to which confirmations go directly.
func Chain(seed uint64) Scene {
	const ms = time.Millisecond
	return Scene{
		Zones: 5, Repeats: repeats.Limits{Ratio: 0.2, Slack: 124, Window: 10 * time.Second}, Seed: seed,
		Services: []Service{
			{Name: "lookups", Speeds: mixed(48), Slots: 22},
			{Name: "dispatch", Speeds: mixed(33), Slots: 22},
			{Name: "campaigns", Speeds: mixed(9), Slots: 47},
			{Name: "records", Speeds: mixed(5), Slots: 29},
		},
		Routes: []Route{
			{
				Name: "lookup", Service: "lookups", PerSecond: 194, Work: 224 * ms, Calls: []Call{{"address", 1, true}},
				Rank: rank(2), Target: 1500 * ms, Timeout: 1500 * ms, Patience: 5 * time.Second, Attempts: 3,
			},
			{
				Name: "notice", Service: "dispatch", PerSecond: 73, Work: 295 * ms, Calls: []Call{{"range", 1, false}},
				Rank: rank(0), Target: 2 * time.Second, Timeout: 2 * time.Second, Patience: 5 * time.Second, Attempts: 3, Once: true,
			},
			{
				Name: "upload", Service: "campaigns", PerSecond: 20, Work: 258 * ms,
				Rank: rank(1), Target: 1200 * ms, Timeout: 3 * time.Second, Patience: 5 * time.Second, Attempts: 3, Once: true,
			},
			{
				Name: "confirm", Service: "records", PerSecond: 24, Work: 181 * ms,
				Rank: rank(2), Target: 600 * ms, Timeout: 1200 * ms, Patience: 2500 * ms, Attempts: 3, Once: true,
			},
			{Name: "address", Service: "dispatch", Work: 15 * ms, Calls: []Call{{"range", 1, false}}, Timeout: 2500 * ms, Attempts: 3},
			{Name: "range", Service: "campaigns", Work: 15 * ms, Calls: []Call{{"history", 4, false}}, Timeout: 2 * time.Second, Attempts: 3},
			{Name: "history", Service: "records", Work: 55 * ms, Timeout: 700 * ms, Attempts: 3},
		},
	}
}

// mixed is how many instances work at half, the same, the same and one and a half times the usual, by turns.
func mixed(count int) []float64 {
	all := make([]float64, count)
	for n := range all {
		all[n] = []float64{0.5, 1, 1, 1.5}[n%4]
	}
	return all
}

// Load is what befalls a fleet, with the seconds that count.
type Load struct {
	Name     string
	Troubles []Trouble
	// From and To bound the seconds that count.
	From, To time.Duration
}

// Loads returns those that policies are compared under.
func Loads() []Load {
	const from, to = 4 * time.Second, 12 * time.Second
	trouble := func(t Trouble) []Trouble {
		t.From, t.For = 2*time.Second, 10*time.Second
		return []Trouble{t}
	}
	surge := trouble(Trouble{Surge: 1.7})
	sheds := []Trouble{{From: 10 * time.Second, For: 8 * time.Second, Service: "directory", Sheds: 0.55}}
	lost := []Trouble{{From: 10 * time.Second, For: 8 * time.Second, Service: "directory", Loses: 0.2}}
	return []Load{
		{"calm", nil, from, to},
		{"surge", surge, from, to},
		{"sheds", sheds, 11 * time.Second, 17 * time.Second},
		{"lost", lost, 11 * time.Second, 17 * time.Second},
		{"slow", trouble(Trouble{Service: "files", Slow: 4}), from, to},
	}
}

func rank(r int) shed.Rank { return shed.Rank{Organisation: r, Route: r} }
