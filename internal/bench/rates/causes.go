package rates

import "github.com/foxtailhook/foxtailhook/internal/fleet/rate"

//go:generate stringer -type=Cause -linecomment

// Cause is the reason why a request got no token, by the state of the whole fleet at that instant.
type Cause uint8

// The causes of a refusal.
const (
	// Empty means that there was no whole token: none in any daemon's stock, and less than one in all homes' buckets together.
	Empty Cause = iota // empty
	// Elsewhere means that a daemon held a token in stock that its own callers did not need yet.
	Elsewhere // elsewhere
	// AtHome means that a home had a whole token that this daemon did not get.
	AtHome // at home
	// Scattered means that the homes together had a whole token, but each less than one.
	Scattered // scattered
	// Unsettled means that no home replied or owned a shard.
	Unsettled // unsettled
)

// OrganisationCount holds the counts of one organisation.
type OrganisationCount struct {
	Organisation string `json:"organisation"`
	Arrivals     int    `json:"arrivals"`
	Inside       int    `json:"inside"`
	Admitted     int    `json:"admitted"`
	// Refusals holds the number of refusals by cause, including those above the organisation's rate.
	Refusals map[string]int `json:"refusals"`
}

// Percent returns by how much the admitted requests fall short of those that one global bucket admits, as a percentage of the
// latter.
func (c OrganisationCount) Percent() float64 {
	return 100 * float64(max(c.Inside-c.Admitted, 0)) / float64(max(c.Inside, 1))
}

// OrganisationCounts returns the counts since the last Reset, one entry for each organisation, in the order of the plans.
func (sim *Simulation) OrganisationCounts() []OrganisationCount {
	out := make([]OrganisationCount, 0, len(sim.plans))
	for _, o := range sim.plans {
		out = append(out, *sim.countsOf(o.Organisation))
	}
	return out
}

// Reset clears the counts.
func (sim *Simulation) Reset() {
	sim.Counts = Counts{}
	sim.organisationCounts = map[string]*OrganisationCount{}
}

func (sim *Simulation) countsOf(organisation string) *OrganisationCount {
	counts, ok := sim.organisationCounts[organisation]
	if !ok {
		counts = &OrganisationCount{Organisation: organisation, Refusals: map[string]int{}}
		sim.organisationCounts[organisation] = counts
	}
	return counts
}

// refusalCause returns the cause of a refusal; unsettled means that no home could state when it has a token.
func (sim *Simulation) refusalCause(organisation string, unsettled bool) Cause {
	if unsettled {
		return Unsettled
	}
	wholeToken, sum := false, 0.0
	for _, h := range sim.hosts {
		if !h.alive {
			continue
		}
		if h.borrower.Stock(organisation, sim.Now) > 0 {
			return Elsewhere
		}
		balance := h.home.Balance(organisation)
		wholeToken = wholeToken || balance >= 1
		sum += balance
	}
	switch {
	case wholeToken:
		return AtHome
	case sum >= 1:
		return Scattered
	default:
		return Empty
	}
}

// anySettled reports whether a home could state when it has a token.
func anySettled(reply rate.LeaseReply) bool {
	for _, grant := range reply.Items {
		if grant.Wait != rate.UnsettledWait {
			return true
		}
	}
	return false
}
