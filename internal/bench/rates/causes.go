package rates

import "github.com/foxtailhook/foxtailhook/internal/fleet/rate"

//go:generate stringer -type=Cause -linecomment

// Cause is why a request found no token, by what the whole fleet held at that instant.
type Cause uint8

// The causes of a refusal.
const (
	// Empty means that no whole token was anywhere: not in stock, and not in the homes' buckets together.
	Empty Cause = iota // empty
	// Elsewhere means that a daemon held a token in stock that its own callers did not need yet.
	Elsewhere // elsewhere
	// AtHome means that a home had a whole token which this daemon did not get.
	AtHome // at home
	// Scattered means that the homes together had a whole token, but each less than one.
	Scattered // scattered
	// Unsettled means that no home answered or held a shard.
	Unsettled // unsettled
)

// Tally is what a run has seen of one organisation.
type Tally struct {
	Organisation string `json:"organisation"`
	Arrivals     int    `json:"arrivals"`
	Inside       int    `json:"inside"`
	Admitted     int    `json:"admitted"`
	// Refusals are counted by their cause, the rightful ones too.
	Refusals map[string]int `json:"refusals"`
}

// Percent returns the share of the requests inside the rate that were refused.
func (t Tally) Percent() float64 {
	return 100 * float64(max(t.Inside-t.Admitted, 0)) / float64(max(t.Inside, 1))
}

// Tallies returns the counts since the last reset, one for each organisation in the order of the plans.
func (w *World) Tallies() []Tally {
	out := make([]Tally, 0, len(w.plans))
	for _, o := range w.plans {
		out = append(out, *w.tally(o.Organisation))
	}
	return out
}

// Reset begins to count anew.
func (w *World) Reset() {
	w.Counts = Counts{}
	w.tallies = map[string]*Tally{}
}

func (w *World) tally(organisation string) *Tally {
	t, ok := w.tallies[organisation]
	if !ok {
		t = &Tally{Organisation: organisation, Refusals: map[string]int{}}
		w.tallies[organisation] = t
	}
	return t
}

// blame finds the cause of a refusal; unsettled means that no home could tell when it has a token.
func (w *World) blame(organisation string, unsettled bool) Cause {
	if unsettled {
		return Unsettled
	}
	whole, sum := false, 0.0
	for _, h := range w.hosts {
		if !h.alive {
			continue
		}
		if h.borrower.Stock(organisation, w.Now) > 0 {
			return Elsewhere
		}
		balance := h.home.Balance(organisation)
		whole = whole || balance >= 1
		sum += balance
	}
	switch {
	case whole:
		return AtHome
	case sum >= 1:
		return Scattered
	default:
		return Empty
	}
}

// settled reports whether a home could tell when it has a token.
func settled(r rate.LeaseReply) bool {
	for _, g := range r.Items {
		if g.Wait != rate.UnsettledWait {
			return true
		}
	}
	return false
}
