package router

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// finishBound tells another daemon that the runs for the sender's requests must have ended within the time: the sender began to shut down after it
// had handed them over, and those that still wait there mustn't begin if they would outlast it.
type finishBound struct {
	FinishIn time.Duration `msgpack:"finishIn"`
}

// Age subtracts the time that has passed on the way from the time that is left.
func (b *finishBound) Age(elapsed time.Duration) { b.FinishIn = max(b.FinishIn-elapsed, minFinishIn) }

const (
	// boundTimeout limits the wait for a daemon to confirm a bound, which is sent up to maxBoundAttempts times.
	boundTimeout     = 400 * time.Millisecond
	maxBoundAttempts = 3
	// boundTTL is how long a bound holds for requests that arrive after it: they were handed over before the order, on another connection. A daemon
	// that starts again on the same host takes longer, so its requests aren't bounded.
	boundTTL = time.Second
)

// sendBounds tells the daemons to which requests were handed over before the order when their runs must have ended.
func (r *Router) sendBounds() {
	hosts := map[netip.Addr]bool{}
	for _, active := range r.active.list() {
		if p := active.progress.Load(); p != nil && !p.run && p.host.IsValid() && p.host != r.settings.Peers.Addr() {
			hosts[p.host] = true
		}
	}
	for host := range hosts {
		go r.sendBound(host)
	}
}

func (r *Router) sendBound(host netip.Addr) {
	for range maxBoundAttempts {
		err := r.callBound(host)
		if err == nil {
			return
		}
		// A daemon of an earlier version doesn't know the message. Its runs end at the cutoff.
		r.log.WithError(err).WithField("host", host.String()).Debug("finish bound")
	}
}

func (r *Router) callBound(host netip.Addr) error {
	ctx, cancel := context.WithTimeout(context.Background(), boundTimeout)
	defer cancel()
	_, err := peer.Call[finishBound, confirmation](ctx, r.peers, r.peerOf(host), peer.KindFinishBound, finishBound{FinishIn: r.finishIn(time.Now())})
	return err
}

// handleFinishBound bounds the runs for another daemon that is shutting down, also those whose requests have yet to arrive.
func (r *Router) handleFinishBound(_ context.Context, from netip.AddrPort, bound finishBound) confirmation {
	now := time.Now()
	finishBy := now.Add(bound.FinishIn)
	r.senderBounds.add(from.Addr(), finishBy, now)
	for _, active := range r.active.list() {
		if p := active.progress.Load(); p != nil && p.run && p.sender == from.Addr() {
			active.finishBy.set(finishBy)
		}
	}
	return confirmation{}
}

// senderBounds holds the latest bounds of daemons that are shutting down, by their host.
type senderBounds struct {
	mu     sync.Mutex
	byHost map[netip.Addr]senderBound
}

// senderBound is when the runs of a sender must have ended; it holds for requests that arrive by validUntil.
type senderBound struct {
	finishBy, validUntil time.Time
}

// add adds a bound and removes those that hold for no request any more.
func (b *senderBounds) add(host netip.Addr, finishBy, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHost == nil {
		b.byHost = map[netip.Addr]senderBound{}
	}
	for other, bound := range b.byHost {
		if now.After(bound.validUntil) {
			delete(b.byHost, other)
		}
	}
	bound := senderBound{finishBy: finishBy, validUntil: now.Add(boundTTL)}
	if finishBy.Before(bound.validUntil) {
		bound.validUntil = finishBy
	}
	b.byHost[host] = bound
}

// of returns the bound for a request of the host that arrives now, or false if there is none.
func (b *senderBounds) of(host netip.Addr, now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound, ok := b.byHost[host]
	return bound.finishBy, ok && !now.After(bound.validUntil)
}

// statedEnd is when a run for another daemon must have ended, if that daemon says so after it has handed the request over.
type statedEnd struct {
	mu     sync.Mutex
	at     time.Time
	notify func(at time.Time)
}

// set states the end.
func (s *statedEnd) set(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = at
	if s.notify != nil {
		s.notify(at)
	}
}

// get returns the end, or zero while none is stated.
func (s *statedEnd) get() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// onSet sets the function that is called with the end, at once if it is stated already; nil ends the calls.
func (s *statedEnd) onSet(notify func(at time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = notify
	if notify != nil && !s.at.IsZero() {
		notify(s.at)
	}
}
