package bounded

import (
	"net/netip"
	"runtime"
	"sync"

	"github.com/pkg/errors"
)

// Account counts the bytes of messages that a process holds, and bounds them. It may be used by several goroutines.
//
// Each part of the process had a bound of its own before, or none, and together they went beyond the memory of the process, which was killed for it
// with all its requests.
type Account struct {
	limits Limits

	mu    sync.Mutex
	large int64
	small int64
	// garbage has the bytes of large messages that were released and may not have been collected yet.
	garbage    int64
	collecting bool
	usage      [Purposes]Usage
	holders    map[netip.Addr]*holding
	waiting    []*Waiter
}

// Usage is what a purpose uses now, and how often it had to wait for memory or was refused it.
type Usage struct {
	Bytes    int64
	large    int64
	Waiting  int
	Waits    uint64
	Refusals uint64
}

// holding is what is held for one receiver, beginnings of bodies apart.
type holding struct{ large, small, growing int64 }

// ErrTooLarge means that a message is larger than one may be.
var ErrTooLarge = errors.New("bounded: message too large")

// ErrNeverFits means that a message is larger than all memory for its purpose.
var ErrNeverFits = errors.New("bounded: message larger than the memory for its purpose")

// NewAccount returns an account with the limits.
func NewAccount(limits Limits) *Account {
	return &Account{limits: limits, holders: map[netip.Addr]*holding{}}
}

// Usage returns what a purpose uses.
func (a *Account) Usage(p Purpose) Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage[p]
}

// Held returns the bytes that are held for all purposes.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.large + a.small
}

// TryTake takes memory at once; false means that there is none.
func (a *Account) TryTake(p Purpose, bytes int64) (*Hold, bool) {
	h := &Hold{account: a, purpose: p}
	if !h.TryResize(bytes) {
		return nil, false
	}
	return h, true
}

// Take takes memory whether or not there is any, for messages that have arrived already.
func (a *Account) Take(p Purpose, to netip.Addr, bytes int64) *Hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &Hold{account: a, purpose: p, to: to}
	a.resize(h, bytes)
	return h
}

// CanHold reports whether a message of the size ever fits.
func (a *Account) CanHold(p Purpose, bytes int64) bool {
	return p == FleetMessage || p.isSmall(bytes) || bytes <= a.limitOf(p)
}

// limitOf returns the limit on the large messages of a purpose.
func (a *Account) limitOf(p Purpose) int64 {
	switch p {
	case Joining:
		return a.limits.Total
	case Growing:
		return max(a.limits.Each/growingDivisor, growingBytes)
	case ResponseHead:
		return a.limits.Each / headDivisor
	default:
		return a.limits.Each
	}
}

// isSmall reports whether a message of the size counts as small. Heads never do: those of an instance in trouble must not take the room of small messages.
func (p Purpose) isSmall(bytes int64) bool { return bytes <= SmallBytes && p != ResponseHead }

// resize changes how much is held without a look at the limits.
func (a *Account) resize(h *Hold, bytes int64) {
	a.count(h, -h.bytes)
	h.bytes = bytes
	a.count(h, bytes)
}

func (a *Account) count(h *Hold, change int64) {
	a.usage[h.purpose].Bytes += change
	small := h.purpose.isSmall(max(change, -change))
	if small {
		a.small += change
	} else {
		a.large += change
		a.usage[h.purpose].large += change
	}
	if !h.to.IsValid() || change == 0 {
		return
	}
	held := a.holders[h.to]
	if held == nil {
		held = &holding{}
		a.holders[h.to] = held
	}
	switch {
	case h.purpose == Growing:
		held.growing += change
	case small:
		held.small += change
	default:
		held.large += change
	}
	if *held == (holding{}) {
		delete(a.holders, h.to)
	}
}

// shortage is what a message lacks.
type shortage uint8

const (
	none shortage = iota
	ofTotal
	ofPurpose
	ofHolder
)

// exceedsRequests reports whether a request is too much for all requests together.
func (a *Account) exceedsRequests(p Purpose, bytes int64) bool {
	if a.limits.Requests == 0 || p != CallerRequest && p != PeerRequest {
		return false
	}
	return a.usage[CallerRequest].large+a.usage[PeerRequest].large+bytes > a.limits.Requests
}

// shortage returns what there is too little of for a message.
func (a *Account) shortage(p Purpose, to netip.Addr, bytes int64) shortage {
	held := holding{}
	if h := a.holders[to]; h != nil {
		held = *h
	}
	switch {
	case p == FleetMessage:
		return none
	case p.isSmall(bytes) && held.small > 0 && held.small+bytes > a.limits.Small/smallHolderDivisor:
		return ofHolder
	case p.isSmall(bytes) && a.small+bytes > a.limits.Small:
		return ofTotal
	case p.isSmall(bytes):
		return none
	case a.usage[p].large+bytes > a.limitOf(p), a.exceedsRequests(p, bytes):
		return ofPurpose
	case p == Growing && held.growing > 0 && held.growing+bytes > a.limitOf(p)/smallHolderDivisor:
		return ofHolder
	case p != Growing && held.large > 0 && held.large+bytes > a.limits.Each/holderDivisor:
		return ofHolder
	case a.large+bytes > a.limits.Total:
		return ofTotal
	default:
		return none
	}
}

// collect collects garbage, on another goroutine, and grants what it makes room for.
func (a *Account) collect() {
	if a.collecting {
		return
	}
	a.collecting = true
	go func() {
		a.collectNow()
		a.mu.Lock()
		a.collecting = false
		ready := a.takeReady()
		a.mu.Unlock()
		grant(ready)
	}()
}

// collectNow collects garbage. Left to itself, the runtime lets the heap grow by more than a large message between two collections.
func (a *Account) collectNow() {
	a.mu.Lock()
	garbage := a.garbage
	a.mu.Unlock()
	runtime.GC()
	a.mu.Lock()
	a.garbage = max(a.garbage-garbage, 0)
	a.mu.Unlock()
}
