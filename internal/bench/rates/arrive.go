package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// seekBound is how long a request waits for tokens before it is refused.
const seekBound = 200 * time.Millisecond

// againWithin is how soon a home must expect a token for it to be waited for before all are asked once more.
const againWithin = 20 * time.Millisecond

// Arrive lets a request of an organisation come in at a host.
func (w *World) Arrive(h *Host, organisation string) { w.Decide(h, organisation, func(bool) {}) }

// Decide lets a request come in at a host and tells once whether it was
// admitted, at once or when its wait for tokens is over.
func (w *World) Decide(h *Host, organisation string, decided func(admitted bool)) {
	if !h.Alive() {
		return
	}
	w.Counts.Arrivals++
	w.tally(organisation).Arrivals++
	if w.ideal.Inside(organisation, w.Now) {
		w.Counts.Inside++
		w.tally(organisation).Inside++
	}
	if w.way != Lending {
		w.arriveEqual(h, organisation, decided)
		return
	}
	if s, ok := h.seeks[organisation]; ok {
		w.join(h, organisation, s, decided)
		return
	}
	switch t, outcome, _ := h.borrower.Spend(organisation, w.Now); outcome {
	case rate.Spent:
		w.spent(h, organisation, t, decided)
	case rate.Refused:
		w.refuse(organisation, w.blame(organisation, false), decided)
	case rate.Dry:
		w.Counts.Asked++
		s := &seek{
			waiting: []func(bool){decided}, need: rate.Waiting, wait: time.Hour,
			ends: w.Now.Add(seekBound), homes: h.borrower.Homes(organisation, w.Now),
		}
		h.seeks[organisation] = s
		w.seek(h, organisation, s)
	}
}

func (w *World) join(h *Host, organisation string, s *seek, decided func(bool)) {
	w.Counts.Asked++
	h.borrower.Arrived(organisation, w.Now)
	s.waiting = append(s.waiting, decided)
}

func (w *World) arriveEqual(h *Host, organisation string, decided func(bool)) {
	if h.equal.spend(organisation, w.Now) {
		w.admit(organisation, decided)
		return
	}
	w.refuse(organisation, Elsewhere, decided)
}

// spent lets a request run that has a token, or be turned away without having run.
func (w *World) spent(h *Host, organisation string, t rate.Token, decided func(bool)) {
	if w.Overload == 0 || w.rng.Float64() >= w.Overload {
		w.admit(organisation, decided)
		return
	}
	w.Counts.TurnedAway++
	decided(true)
	w.process(h, h.incarnation, w.rngTime(w.OverloadBy), func() {
		if h.borrower.GiveBack(organisation, t, w.Now) {
			w.Counts.GivenBack++
		}
	})
}

func (w *World) admit(organisation string, decided func(bool)) {
	w.Counts.Admitted++
	w.tally(organisation).Admitted++
	w.Checker.Admit(organisation, w.Now)
	decided(true)
}

func (w *World) refuse(organisation string, c Cause, decided func(bool)) {
	w.Counts.Refused++
	w.tally(organisation).Refusals[c.String()]++
	decided(false)
}

func (w *World) seek(h *Host, organisation string, s *seek) {
	ask, ok := w.nextAsk(h, organisation, s)
	if !ok && s.need < rate.Gathering && w.Now.Before(s.ends) {
		wait := s.wait
		if wait > againWithin {
			wait = 0
		}
		if s.wait > 0 {
			s.need = rate.Gathering
		}
		s.wait = time.Hour
		s.homes = h.borrower.Homes(organisation, w.Now)
		w.process(h, h.incarnation, wait, func() { w.seek(h, organisation, s) })
		return
	}
	if !ok || !w.Now.Before(s.ends) {
		h.borrower.RanDry(organisation, s.wait, w.Now)
		w.end(h, organisation, s)
		return
	}
	next := func() {
		w.serve(h, organisation, s)
		if len(s.waiting) > 0 {
			w.seek(h, organisation, s)
			return
		}
		delete(h.seeks, organisation)
	}
	w.lease(h, ask, func(r rate.LeaseReply, _ time.Time) {
		for _, g := range r.Items {
			s.wait = min(s.wait, g.Wait)
		}
		s.settled = s.settled || settled(r)
		next()
	}, next)
}

func (w *World) nextAsk(h *Host, organisation string, s *seek) (rate.Ask, bool) {
	for len(s.homes) > 0 {
		home := s.homes[0]
		s.homes = s.homes[1:]
		if ask, ok := h.borrower.Urgent(organisation, home, len(s.waiting), s.need, w.Now); ok {
			return ask, true
		}
	}
	return rate.Ask{}, false
}

// serve lets waiting requests spend what has come.
func (w *World) serve(h *Host, organisation string, s *seek) {
	for len(s.waiting) > 0 {
		t, ok := h.borrower.Take(organisation, w.Now)
		if !ok {
			return
		}
		w.spent(h, organisation, t, s.next())
	}
}

func (w *World) end(h *Host, organisation string, s *seek) {
	for len(s.waiting) > 0 {
		w.refuse(organisation, w.blame(organisation, !s.settled), s.next())
	}
	delete(h.seeks, organisation)
}
