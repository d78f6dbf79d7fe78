package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// seekBound is how long requests wait for tokens while no home can say how it stands and none of them
// gets one; when homes can, they are refused at once. It counts from the last token and not from the search's
// beginning: one search follows requests that come without a pause for as long as they come.
const seekBound = 500 * time.Millisecond

// seeks are the searches for tokens that requests wait for, one for each organisation.
type seeks struct {
	mu    *sync.Mutex
	going map[string]*seek
}

func newSeeks() seeks { return seeks{mu: &sync.Mutex{}, going: map[string]*seek{}} }

// seek asks home after home. A burst of requests at a dry daemon must not
// become as many questions, so those that come meanwhile wait for the same ones.
type seek struct {
	mu      sync.Mutex
	changed chan struct{}
	waiters int
	ended   bool
	dry     bool
	wait    time.Duration
	// lent is when the search began, or when one of those that wait last got a token.
	lent time.Time
}

// Spend takes a token of the organisation. If none is here it waits, bounded, for
// homes to lend one; false comes with the time after which to come back.
func (r *rates) Spend(ctx context.Context, organisation string) (rate.Token, time.Duration, bool) {
	switch token, outcome, wait := r.borrower.Spend(organisation, time.Now()); outcome {
	case rate.Spent:
		return token, 0, true
	case rate.Refused:
		return token, wait, false
	case rate.Dry:
	}
	r.daemon.metrics.Counter(telemetry.RateWaits).Inc(1)
	r.waits.Add(1)
	s := r.join(organisation)
	defer func() { s.leave() }()
	for {
		changed, ended, dry, wait := s.look()
		if token, ok := r.borrower.Take(organisation, time.Now()); ok {
			s.took(time.Now())
			return token, 0, true
		}
		if ended && dry {
			return rate.Token{}, wait, false
		}
		if ended {
			s.leave()
			s = r.join(organisation)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return rate.Token{}, time.Second, false
		}
	}
}

// giveBack returns the token of a request that did not run; a chained request has none.
func (r *rates) giveBack(a *admitted) {
	if r.borrower.GiveBack(a.request.Organisation, a.token, time.Now()) {
		r.daemon.metrics.Counter(telemetry.RateGivenBack).Inc(1)
		r.back.Add(1)
	}
}

// join returns the search that is going on for the organisation, starting one if there is none.
func (r *rates) join(organisation string) *seek {
	r.seeks.mu.Lock()
	defer r.seeks.mu.Unlock()
	s, ok := r.seeks.going[organisation]
	if !ok {
		s = &seek{changed: make(chan struct{}), wait: time.Second, lent: time.Now()}
		r.seeks.going[organisation] = s
		go r.seek(organisation, s)
	}
	s.mu.Lock()
	s.waiters++
	s.mu.Unlock()
	return s
}

func (r *rates) seek(organisation string, s *seek) {
	wait, dry := r.rounds(organisation, s)
	r.seeks.mu.Lock()
	delete(r.seeks.going, organisation)
	r.seeks.mu.Unlock()
	if dry {
		r.borrower.RanDry(organisation, wait, time.Now())
	}
	s.end(wait, dry)
}

// rounds asks all homes again while some have more than was asked for, since
// requests join meanwhile, and once more for the fractions that they hold.
func (r *rates) rounds(organisation string, s *seek) (wait time.Duration, dry bool) {
	need := rate.Waiting
	for s.wanted() {
		var certain bool
		ends := s.ends()
		if !time.Now().Before(ends) {
			return wait, true
		}
		wait, certain = r.round(ends, organisation, s, need)
		if r.borrower.Stock(organisation, time.Now()) > 0 {
			// What was asked for ahead of need may have come too, and nobody else tells of it.
			s.tell()
		}
		if wait == 0 {
			continue
		}
		if !certain {
			time.Sleep(unsettledPause)
			continue
		}
		if need == rate.Gathering {
			return wait, true
		}
		need = rate.Gathering
		if wait <= againWithin {
			time.Sleep(wait)
		}
	}
	return wait, false
}

// againWithin is how soon a home must expect a token for it to be waited for
// before the homes are asked once more: a caller inside its rate should not be refused for a few milliseconds,
// and one far over it should hear so at once.
const againWithin = 20 * time.Millisecond

// unsettledPause stands between rounds in which no home could say how it stands.
const unsettledPause = 10 * time.Millisecond

// round asks each home once, as long as requests wait and the time is not up, and returns the
// shortest time until one has a token, and whether any could tell.
func (r *rates) round(ends time.Time, organisation string, s *seek, need rate.Need) (wait time.Duration, certain bool) {
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	wait = rate.UnsettledWait
	for _, home := range r.borrower.Homes(organisation, time.Now()) {
		if !s.wanted() || ctx.Err() != nil {
			break
		}
		if ask, ok := r.borrower.Urgent(organisation, home, s.waiting(), need, time.Now()); ok {
			told := r.lend(ctx, ask)
			switch {
			case told == rate.UnsettledWait:
			case certain:
				wait = min(wait, told)
			default:
				wait, certain = told, true
			}
			s.tell()
		}
	}
	return wait, certain
}

func (s *seek) look() (changed chan struct{}, ended, dry bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.ended, s.dry, s.wait
}

// took notes that one of those that wait got a token.
func (s *seek) took(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lent = now
}

// ends returns when the search ends unless somebody gets a token before.
func (s *seek) ends() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lent.Add(seekBound)
}

func (s *seek) leave() {
	s.mu.Lock()
	s.waiters--
	s.mu.Unlock()
}

func (s *seek) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters
}

func (s *seek) wanted() bool { return s.waiting() > 0 }

func (s *seek) tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *seek) end(wait time.Duration, dry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.dry, s.wait = true, dry, wait
	close(s.changed)
}
