package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/app/telemetry"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// searchTimeout is how long requests wait for tokens while no home can tell when it will have one and no waiting request
// gets one; if homes can tell, requests are refused at once. It counts from the last token, not from the start of the
// search, since one search goes on for as long as requests keep joining it.
const searchTimeout = 500 * time.Millisecond

// tokenSearches holds the running searches for tokens, one for each organisation.
type tokenSearches struct {
	mu     *sync.Mutex
	active map[string]*tokenSearch
}

func newTokenSearches() tokenSearches {
	return tokenSearches{mu: &sync.Mutex{}, active: map[string]*tokenSearch{}}
}

// tokenSearch asks one home after another for tokens. All requests that wait for tokens of the organisation share
// it, so that a burst of requests at a daemon without tokens doesn't become a burst of lease requests.
type tokenSearch struct {
	mu         sync.Mutex
	changed    chan struct{}
	waiters    int
	done       bool
	exhausted  bool
	retryAfter time.Duration
	// lastToken is when a waiting request last got a token, or when the search began, moved on by the time in which the process did not run.
	lastToken time.Time
	// lastStep is when the search last took a step, or when it began.
	lastStep time.Time
}

func newTokenSearch(now time.Time) *tokenSearch {
	return &tokenSearch{changed: make(chan struct{}), retryAfter: time.Second, lastToken: now, lastStep: now}
}

// Spend takes a token of the organisation. If none is cached, it waits, for a bounded time, until homes lend one; false
// comes with the time after which to retry.
func (r *rateLimiter) Spend(ctx context.Context, organisation string) (rate.Token, time.Duration, bool) {
	switch token, outcome, wait := r.borrower.Spend(organisation, time.Now()); outcome {
	case rate.Spent:
		return token, 0, true
	case rate.Refused:
		return token, wait, false
	case rate.Dry:
	}
	r.daemon.metrics.Counter(telemetry.RateWaits).Inc(1)
	r.waits.Add(1)
	s := r.joinSearch(organisation)
	defer func() { s.leave() }()
	for {
		changed, done, exhausted, retryAfter := s.state()
		if token, ok := r.borrower.Take(organisation, time.Now()); ok {
			s.recordToken(time.Now())
			return token, 0, true
		}
		if done && exhausted {
			return rate.Token{}, retryAfter, false
		}
		if done {
			s.leave()
			s = r.joinSearch(organisation)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return rate.Token{}, time.Second, false
		}
	}
}

// returnToken returns the token of a request that did not run; a sub-call has none.
func (r *rateLimiter) returnToken(a *admittedRequest) {
	if r.borrower.GiveBack(a.request.Organisation, a.token, time.Now()) {
		r.daemon.metrics.Counter(telemetry.RateTokensReturned).Inc(1)
		r.returned.Add(1)
	}
}

// joinSearch adds a waiter to the organisation's running search, and starts a search if there is none.
func (r *rateLimiter) joinSearch(organisation string) *tokenSearch {
	r.searches.mu.Lock()
	defer r.searches.mu.Unlock()
	s, ok := r.searches.active[organisation]
	if !ok {
		s = newTokenSearch(time.Now())
		r.searches.active[organisation] = s
		go r.runSearch(organisation, s)
	}
	s.mu.Lock()
	s.waiters++
	s.mu.Unlock()
	return s
}

func (r *rateLimiter) runSearch(organisation string, s *tokenSearch) {
	wait, exhausted := r.search(organisation, s)
	r.searches.mu.Lock()
	delete(r.searches.active, organisation)
	r.searches.mu.Unlock()
	if exhausted {
		r.borrower.RanDry(organisation, wait, time.Now())
	}
	s.finish(wait, exhausted)
}

// search asks all homes again while some have more tokens than were asked for, since further requests join
// meanwhile, and one more time for the fractions of a token that they hold.
func (r *rateLimiter) search(organisation string, s *tokenSearch) (wait time.Duration, exhausted bool) {
	need := rate.Waiting
	for s.hasWaiters() {
		var certain bool
		s.step(time.Now())
		deadline := s.deadline()
		if !time.Now().Before(deadline) {
			return wait, true
		}
		wait, certain = r.askHomes(deadline, organisation, s, need)
		if r.borrower.Stock(organisation, time.Now()) > 0 {
			// Prefetched tokens may have arrived as well, and only this wakes the waiters for them.
			s.wakeWaiters()
		}
		if wait == 0 {
			continue
		}
		if !certain {
			time.Sleep(unsettledDelay)
			continue
		}
		if need == rate.Gathering {
			return wait, true
		}
		need = rate.Gathering
		if wait <= maxTokenWait {
			time.Sleep(wait)
		}
	}
	return wait, false
}

// maxTokenWait is the longest wait for a home's next token before the homes are asked one more time. A caller within its
// rate limit should not be refused for a few milliseconds, and one far above it should be refused at once.
const maxTokenWait = 20 * time.Millisecond

// unsettledDelay is the pause between rounds in which no home could tell when it will have a token.
const unsettledDelay = 10 * time.Millisecond

// askHomes asks each home once, while requests wait and the deadline is not reached. It returns the shortest time until
// a home has a token, and whether any home could tell.
func (r *rateLimiter) askHomes(deadline time.Time, organisation string, s *tokenSearch, need rate.Need) (wait time.Duration, certain bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	wait = rate.UnsettledWait
	for _, home := range r.borrower.Homes(organisation, time.Now()) {
		if !s.hasWaiters() || ctx.Err() != nil {
			break
		}
		if ask, ok := r.borrower.Urgent(organisation, home, s.waiterCount(), need, time.Now()); ok {
			homeWait := r.requestTokens(ctx, ask)
			switch {
			case homeWait == rate.UnsettledWait:
			case certain:
				wait = min(wait, homeWait)
			default:
				wait, certain = homeWait, true
			}
			s.wakeWaiters()
		}
	}
	return wait, certain
}

func (s *tokenSearch) state() (changed chan struct{}, done, exhausted bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.done, s.exhausted, s.retryAfter
}

// recordToken records that a waiting request got a token.
func (s *tokenSearch) recordToken(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastToken = now
}

// deadline returns when the search ends if no waiting request gets a token before.
func (s *tokenSearch) deadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastToken.Add(searchTimeout)
}

// maxStepTime is longer than any step of a search takes while its process runs.
const maxStepTime = 2 * leaseTimeout

// step records that the search takes its next step now. The time limit doesn't count the time in which the process did not run: after a pause
// of the process, requests within their rates would be refused although no home has been asked.
func (s *tokenSearch) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if paused := now.Sub(s.lastStep) - maxStepTime; paused > 0 {
		s.lastToken = earlier(s.lastToken.Add(paused), now)
	}
	s.lastStep = now
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *tokenSearch) leave() {
	s.mu.Lock()
	s.waiters--
	s.mu.Unlock()
}

func (s *tokenSearch) waiterCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiters
}

func (s *tokenSearch) hasWaiters() bool { return s.waiterCount() > 0 }

func (s *tokenSearch) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tokenSearch) finish(retryAfter time.Duration, exhausted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.exhausted, s.retryAfter = true, exhausted, retryAfter
	close(s.changed)
}
