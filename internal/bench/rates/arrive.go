package rates

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// seekBound is how long a request waits for tokens before it is refused.
const seekBound = 200 * time.Millisecond

// againWithin is how soon a home must expect a token for all to be asked once more.
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
	if w.ideal.Inside(organisation, w.Now) {
		w.Counts.Inside++
	}
	if w.way != Lending {
		w.settle(organisation, h.equal.spend(organisation, w.Now), decided)
		return
	}
	if s, ok := h.seeks[organisation]; ok {
		w.join(h, organisation, s, decided)
		return
	}
	switch outcome, _ := h.borrower.Spend(organisation, w.Now); outcome {
	case rate.Spent:
		w.settle(organisation, true, decided)
	case rate.Refused:
		w.settle(organisation, false, decided)
	case rate.Dry:
		w.Counts.Asked++
		s := &seek{waiting: []func(bool){decided}, wait: time.Hour, ends: w.Now.Add(seekBound), homes: h.borrower.Homes(organisation, w.Now)}
		h.seeks[organisation] = s
		w.seek(h, organisation, s)
	}
}

func (w *World) join(h *Host, organisation string, s *seek, decided func(bool)) {
	w.Counts.Asked++
	h.borrower.Arrived(organisation, w.Now)
	s.waiting = append(s.waiting, decided)
}

func (w *World) settle(organisation string, admitted bool, decided func(bool)) {
	if admitted {
		w.Counts.Admitted++
		w.Checker.Admit(organisation, w.Now)
	} else {
		w.Counts.Refused++
	}
	decided(admitted)
}

func (w *World) seek(h *Host, organisation string, s *seek) {
	ask, ok := w.nextAsk(h, organisation, s)
	if !ok && s.wait <= againWithin && !s.again && w.Now.Before(s.ends) {
		wait := s.wait
		s.again, s.wait = wait > 0, time.Hour
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
		next()
	}, next)
}

func (w *World) nextAsk(h *Host, organisation string, s *seek) (rate.Ask, bool) {
	for len(s.homes) > 0 {
		home := s.homes[0]
		s.homes = s.homes[1:]
		if ask, ok := h.borrower.Urgent(organisation, home, len(s.waiting), w.Now); ok {
			return ask, true
		}
	}
	return rate.Ask{}, false
}

// serve lets waiting requests spend what has come.
func (w *World) serve(h *Host, organisation string, s *seek) {
	for len(s.waiting) > 0 {
		if !h.borrower.Take(organisation, w.Now) {
			return
		}
		w.settle(organisation, true, s.next())
	}
}

func (w *World) end(h *Host, organisation string, s *seek) {
	for len(s.waiting) > 0 {
		w.settle(organisation, false, s.next())
	}
	delete(h.seeks, organisation)
}
