package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// tokenSearchTimeout is how long a request waits for tokens before it is refused.
const tokenSearchTimeout = 200 * time.Millisecond

// maxTokenWait bounds the wait for a token that a home expects. If no home expects one within it, the
// search starts over at once.
const maxTokenWait = 20 * time.Millisecond

// Arrive processes an organisation's request at a host.
func (sim *Simulation) Arrive(h *Host, organisation string) {
	sim.Decide(h, organisation, func(bool) {})
}

// Decide processes an organisation's request at a host and calls decided once with the result, at once or when the token
// search ends.
func (sim *Simulation) Decide(h *Host, organisation string, decided func(admitted bool)) {
	if !h.Alive() {
		return
	}
	sim.Counts.Arrivals++
	sim.countsOf(organisation).Arrivals++
	if sim.globalBuckets.Inside(organisation, sim.Now) {
		sim.Counts.Inside++
		sim.countsOf(organisation).Inside++
	}
	if sim.division != Lending {
		sim.decideEqualSplit(h, organisation, decided)
		return
	}
	if search, ok := h.searches[organisation]; ok {
		sim.joinSearch(h, organisation, search, decided)
		return
	}
	switch t, outcome, _ := h.borrower.Spend(organisation, sim.Now); outcome {
	case rate.Spent:
		sim.useToken(h, organisation, t, decided)
	case rate.Refused:
		sim.refuse(organisation, sim.refusalCause(organisation, false), decided)
	case rate.Dry:
		sim.Counts.LeaseNeeded++
		search := &tokenSearch{
			waiting: []func(bool){decided}, need: rate.Waiting, expectedWait: time.Hour,
			deadline: sim.Now.Add(tokenSearchTimeout), homes: h.borrower.Homes(organisation, sim.Now),
		}
		h.searches[organisation] = search
		sim.searchToken(h, organisation, search)
	}
}

func (sim *Simulation) joinSearch(h *Host, organisation string, search *tokenSearch, decided func(bool)) {
	sim.Counts.LeaseNeeded++
	h.borrower.Arrived(organisation, sim.Now)
	search.waiting = append(search.waiting, decided)
}

func (sim *Simulation) decideEqualSplit(h *Host, organisation string, decided func(bool)) {
	if h.equalSplit.spend(organisation, sim.Now) {
		sim.admit(organisation, decided)
		return
	}
	sim.refuse(organisation, Elsewhere, decided)
}

// useToken admits a request that has a token, or counts it as declined; its token is then returned later.
func (sim *Simulation) useToken(h *Host, organisation string, token rate.Token, decided func(bool)) {
	if sim.DeclineFraction == 0 || sim.rng.Float64() >= sim.DeclineFraction {
		sim.admit(organisation, decided)
		return
	}
	sim.Counts.Declined++
	decided(true)
	sim.runOn(h, h.incarnation, sim.randomDuration(sim.MaxDeclineDelay), func() {
		if h.borrower.GiveBack(organisation, token, sim.Now) {
			sim.Counts.TokensReturned++
		}
	})
}

func (sim *Simulation) admit(organisation string, decided func(bool)) {
	sim.Counts.Admitted++
	sim.countsOf(organisation).Admitted++
	sim.Checker.Admit(organisation, sim.Now)
	decided(true)
}

func (sim *Simulation) refuse(organisation string, cause Cause, decided func(bool)) {
	sim.Counts.Refused++
	sim.countsOf(organisation).Refusals[cause.String()]++
	decided(false)
}

// searchToken sends a lease request to the next home of the search. After the last home it waits for the first token that one
// expects and starts over. Unless a home expected a token at once, the second round is the last, and requests fractions of
// tokens too. After it, or after the deadline, the waiting requests are refused.
func (sim *Simulation) searchToken(h *Host, organisation string, search *tokenSearch) {
	ask, ok := sim.nextLeaseRequest(h, organisation, search)
	if !ok && search.need < rate.Gathering && sim.Now.Before(search.deadline) {
		wait := search.expectedWait
		if wait > maxTokenWait {
			wait = 0
		}
		if search.expectedWait > 0 {
			search.need = rate.Gathering
		}
		search.expectedWait = time.Hour
		search.homes = h.borrower.Homes(organisation, sim.Now)
		sim.runOn(h, h.incarnation, wait, func() { sim.searchToken(h, organisation, search) })
		return
	}
	if !ok || !sim.Now.Before(search.deadline) {
		h.borrower.RanDry(organisation, search.expectedWait, sim.Now)
		sim.refuseWaiting(h, organisation, search)
		return
	}
	resume := func() {
		sim.admitWaiting(h, organisation, search)
		if len(search.waiting) > 0 {
			sim.searchToken(h, organisation, search)
			return
		}
		delete(h.searches, organisation)
	}
	sim.lease(h, ask, func(reply rate.LeaseReply, _ time.Time) {
		for _, grant := range reply.Items {
			search.expectedWait = min(search.expectedWait, grant.Wait)
		}
		search.settled = search.settled || anySettled(reply)
		resume()
	}, resume)
}

func (sim *Simulation) nextLeaseRequest(h *Host, organisation string, search *tokenSearch) (rate.Ask, bool) {
	for len(search.homes) > 0 {
		home := search.homes[0]
		search.homes = search.homes[1:]
		if ask, ok := h.borrower.Urgent(organisation, home, len(search.waiting), search.need, sim.Now); ok {
			return ask, true
		}
	}
	return rate.Ask{}, false
}

// admitWaiting gives the tokens that have arrived to the waiting requests, in order.
func (sim *Simulation) admitWaiting(h *Host, organisation string, search *tokenSearch) {
	for len(search.waiting) > 0 {
		token, ok := h.borrower.Take(organisation, sim.Now)
		if !ok {
			return
		}
		sim.useToken(h, organisation, token, search.popWaiting())
	}
}

func (sim *Simulation) refuseWaiting(h *Host, organisation string, search *tokenSearch) {
	for len(search.waiting) > 0 {
		sim.refuse(organisation, sim.refusalCause(organisation, !search.settled), search.popWaiting())
	}
	delete(h.searches, organisation)
}
