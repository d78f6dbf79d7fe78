package bounded

import (
	"context"
	"net/netip"
	"slices"
)

// Await waits until there is memory, in an order in which nobody starves. The error is ErrNeverFits, or the context's.
func (a *Account) Await(ctx context.Context, p Purpose, to netip.Addr, bytes int64) (*Hold, error) {
	if !a.CanHold(p, bytes) {
		return nil, ErrNeverFits
	}
	granted := make(chan *Hold, 1)
	w := a.Request(p, to, bytes, func(h *Hold) { granted <- h })
	select {
	case h := <-granted:
		return h, nil
	case <-ctx.Done():
	}
	if w.Cancel() {
		return nil, ctx.Err()
	}
	return <-granted, nil
}

// Waiter is a request for memory that may have to wait.
type Waiter struct {
	account *Account
	hold    *Hold
	bytes   int64
	granted func(*Hold)
}

// Request calls granted once there is memory for a message that can fit, at once or later on another goroutine.
func (a *Account) Request(p Purpose, to netip.Addr, bytes int64, granted func(*Hold)) *Waiter {
	w := &Waiter{account: a, hold: &Hold{account: a, purpose: p, to: to}, bytes: bytes, granted: granted}
	a.mu.Lock()
	a.waiting = append(a.waiting, w)
	a.usage[p].Waiting++
	ready := a.takeReady()
	if !slices.Contains(ready, w) {
		a.usage[p].Waits++
	}
	a.mu.Unlock()
	grant(ready)
	return w
}

// Cancel withdraws the request; false means that it was granted before.
func (w *Waiter) Cancel() bool {
	a := w.account
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.usage[w.hold.purpose].Waiting--
	a.usage[w.hold.purpose].Refusals++
	a.wake()
	return true
}

func grant(ready []*Waiter) {
	for _, w := range ready {
		w.granted(w.hold)
	}
}

// blocks says for whom a waiter that lacks memory blocks those behind it.
type blocks struct {
	all, small bool
	purposes   [Purposes]bool
}

// takeReady removes the waiters for which there is memory and returns them. A waiter that lacks memory blocks those behind it which would take it, so
// that a large message doesn't starve behind smaller ones; one whose receiver has taken its share doesn't.
func (a *Account) takeReady() []*Waiter {
	var ready, waiting []*Waiter
	var blocked blocks
	for _, w := range a.waiting {
		if blocked.includes(w) || !a.take(w, &blocked) {
			waiting = append(waiting, w)
			continue
		}
		a.usage[w.hold.purpose].Waiting--
		ready = append(ready, w)
	}
	a.waiting = waiting
	return ready
}

// includes reports whether a waiter has to wait for one before it. Nothing that daemons tell each other does.
func (b *blocks) includes(w *Waiter) bool {
	switch {
	case w.hold.purpose == FleetMessage:
		return false
	case w.hold.purpose.isSmall(w.bytes):
		return b.small
	}
	return b.all || b.purposes[w.hold.purpose]
}

// take takes the memory that a waiter asks for, or says whom it blocks.
func (a *Account) take(w *Waiter, blocked *blocks) bool {
	switch a.shortage(w.hold.purpose, w.hold.to, w.bytes) {
	case ofTotal:
		blocked.small = blocked.small || w.hold.purpose.isSmall(w.bytes)
		blocked.all = blocked.all || !w.hold.purpose.isSmall(w.bytes)
		return false
	case ofPurpose:
		blocked.purposes[w.hold.purpose] = true
		return false
	case ofHolder:
		return false
	case none:
	}
	if !w.hold.purpose.isSmall(w.bytes) && w.hold.purpose != FleetMessage && a.garbage > 0 && a.large+a.garbage+w.bytes > a.limits.Total {
		blocked.all = true
		a.collect()
		return false
	}
	a.resize(w.hold, w.bytes)
	return true
}

// wake grants memory to those that wait, on another goroutine: memory is released under locks that granting takes too.
func (a *Account) wake() {
	if len(a.waiting) == 0 {
		return
	}
	go func() {
		a.mu.Lock()
		ready := a.takeReady()
		a.mu.Unlock()
		grant(ready)
	}()
}
