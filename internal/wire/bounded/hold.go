package bounded

import (
	"net/netip"
	"slices"
)

// Hold is memory that is held for one message until Release. A nil Hold holds nothing.
type Hold struct {
	account *Account
	purpose Purpose
	to      netip.Addr
	// bytes is guarded by the account; below 0 means released.
	bytes int64
	// joined is released with this hold.
	joined *Hold
}

const released = -1

// TryResize changes how much is held; false means that there is no memory for more, and changes nothing. If garbage occupies the memory of a large
// message, it is collected first, which takes some milliseconds.
func (h *Hold) TryResize(bytes int64) bool {
	a := h.account
	a.mu.Lock()
	ok := a.tryResize(h, bytes)
	collects := ok && !h.purpose.isSmall(bytes) && a.garbage > 0 && a.large+a.garbage > a.limits.Total
	a.mu.Unlock()
	if collects {
		a.collectNow()
	}
	return ok
}

// Bytes returns how many bytes are held.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return max(h.bytes, 0)
}

// Join returns a hold whose Release releases both; either may be nil.
func (h *Hold) Join(other *Hold) *Hold {
	if h == nil {
		return other
	}
	h.joined = other
	return h
}

// Release gives the memory back, once: the message must not be used any more.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.joined.Release()
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.bytes == released {
		return
	}
	a.discard(h.purpose, h.bytes)
	a.resize(h, 0)
	h.bytes = released
	a.wake()
}

// discard records that so many bytes of a message aren't used any more.
func (a *Account) discard(p Purpose, bytes int64) {
	if !p.isSmall(bytes) {
		a.garbage += bytes
	}
}

// tryResize resizes a hold if there is memory, apart from what garbage occupies.
func (a *Account) tryResize(h *Hold, bytes int64) bool {
	if h.bytes == released {
		return false
	}
	before := h.bytes
	a.resize(h, 0)
	lacks := a.shortage(h.purpose, h.to, bytes)
	if bytes > before && (lacks != none || before == 0 && !h.purpose.isSmall(bytes) && a.othersLackRoom()) {
		a.resize(h, before)
		a.usage[h.purpose].Refusals++
		return false
	}
	a.resize(h, bytes)
	if bytes < before {
		a.discard(h.purpose, before-bytes)
		a.wake()
	}
	return true
}

// othersLackRoom reports whether a large message waits for room that those which don't wait must leave to it.
func (a *Account) othersLackRoom() bool {
	return slices.ContainsFunc(a.waiting, func(w *Waiter) bool {
		return !w.hold.purpose.isSmall(w.bytes) && a.shortage(w.hold.purpose, w.hold.to, w.bytes) == ofTotal
	})
}
