package ledger

import (
	"container/list"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Ledger is one daemon's record of idempotency keys, bounded in keys, bytes and time.
//
// It handles callers that retry a charge because its response was late, and
// floods of new keys: when it is full it accepts no more, since forgetting a key
// early would let a client retry run the request twice. One organisation can
// fill at most half of it, so that other organisations' requests are still accepted.
type Ledger struct {
	window   time.Duration
	maxKeys  int
	maxBytes int

	mu      sync.Mutex
	started time.Time
	entries map[Key]*entry
	// order has the entries by expiry, the earliest first.
	order               *list.List
	answerBytes         int
	keysPerOrganisation map[string]int
	// inherited says what leaving daemons handed over, by host.
	inherited map[string]inheritance
}

// entry is the record of one key.
type entry struct {
	key         Key
	fingerprint Fingerprint
	state       State
	answer      call.Answer
	hasAnswer   bool
	done        chan struct{}
	expires     time.Time
	element     *list.Element

	// transfers are the daemons that recalled the key, with the time of each one's first recall.
	transfers map[string]time.Time
}

// inheritance says how far back the records reach that a leaving daemon handed over.
type inheritance struct {
	coveredSince time.Time
	expires      time.Time
}

// New returns an empty ledger that remembers each key for the window, with at most maxKeys keys and maxBytes of response bodies.
func New(window time.Duration, maxKeys, maxBytes int, now time.Time) *Ledger {
	return &Ledger{
		window: window, maxKeys: maxKeys, maxBytes: maxBytes, started: now,
		entries: map[Key]*entry{}, order: list.New(), keysPerOrganisation: map[string]int{}, inherited: map[string]inheritance{},
	}
}

// Ticket is the result of a request's claim to its key.
type Ticket struct {
	Claim  Claim
	Answer call.Answer
	// Done is closed when the running request with this key has ended.
	Done <-chan struct{}
	// Transfers are the daemons that recalled the key earlier; if there are any, the key must be recalled from the others.
	Transfers []Transfer
	// Wait is the time until there may be capacity for a new key.
	Wait time.Duration
}

// Begin claims a key for a request.
func (l *Ledger) Begin(k Key, fingerprint Fingerprint, now time.Time) Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	e, ok := l.entries[k]
	if !ok {
		e, ok = l.add(k, now)
		if !ok {
			return Ticket{Claim: Full, Wait: l.nextExpiry(now)}
		}
	} else if e.state != Transferred && e.fingerprint != fingerprint {
		return Ticket{Claim: Mismatched}
	}
	switch e.state {
	case Running:
		return Ticket{Claim: Joined, Done: e.done}
	case Finished:
		return l.replay(e)
	case Lost:
		return Ticket{Claim: Doubtful}
	}
	e.state = Running
	e.fingerprint = fingerprint
	e.done = make(chan struct{})
	return Ticket{Claim: Begun, Transfers: e.transferList(now)}
}

func (l *Ledger) replay(e *entry) Ticket {
	if !e.hasAnswer {
		return Ticket{Claim: Doubtful}
	}
	return Ticket{Claim: Answered, Answer: e.answer}
}

// Finish records the result of the request that claimed the key. A request that was not run leaves no record.
func (l *Ledger) Finish(k Key, answer call.Answer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[k]
	if !ok || e.state != Running {
		return
	}
	close(e.done)
	l.renew(e, now)
	switch answer.Outcome {
	case call.NotRun:
		l.reset(e)
	case call.Whole:
		e.state = Finished
		l.keepAnswer(e, answer)
	default:
		e.state = Lost
	}
}

// Release ends the claim of a request that must not run.
func (l *Ledger) Release(k Key, now time.Time) {
	l.Finish(k, call.Refuse(call.Repeated, 0), now)
}

// reset restores an entry to its state before the request claimed it.
func (l *Ledger) reset(e *entry) {
	if len(e.transfers) == 0 {
		l.remove(e)
		return
	}
	e.state = Transferred
}

// keepAnswer stores a response if there is capacity; without it, a client retry is answered that the outcome is unknown.
func (l *Ledger) keepAnswer(e *entry, answer call.Answer) {
	if l.answerBytes+len(answer.Body) > l.maxBytes {
		return
	}
	e.answer = answer
	e.hasAnswer = true
	l.answerBytes += len(answer.Body)
}

func (l *Ledger) add(k Key, now time.Time) (*entry, bool) {
	if len(l.entries) >= l.maxKeys || l.keysPerOrganisation[k.Organisation] >= l.maxKeys/2 {
		return nil, false
	}
	e := &entry{key: k, expires: now.Add(l.window)}
	e.element = l.order.PushBack(e)
	l.entries[k] = e
	l.keysPerOrganisation[k.Organisation]++
	return e, true
}

func (l *Ledger) renew(e *entry, now time.Time) {
	e.expires = now.Add(l.window)
	l.order.MoveToBack(e.element)
}

func (l *Ledger) remove(e *entry) {
	l.order.Remove(e.element)
	delete(l.entries, e.key)
	l.answerBytes -= len(e.answer.Body)
	if l.keysPerOrganisation[e.key.Organisation]--; l.keysPerOrganisation[e.key.Organisation] <= 0 {
		delete(l.keysPerOrganisation, e.key.Organisation)
	}
}

// expire removes records older than the window, but keeps those of running requests.
func (l *Ledger) expire(now time.Time) {
	for element := l.order.Front(); element != nil; element = l.order.Front() {
		e := element.Value.(*entry)
		if now.Before(e.expires) {
			break
		}
		if e.state == Running {
			l.renew(e, now)
			continue
		}
		l.remove(e)
	}
	for host, inherited := range l.inherited {
		if !now.Before(inherited.expires) {
			delete(l.inherited, host)
		}
	}
}

// nextExpiry returns the time until the next entry expires, at least one second.
func (l *Ledger) nextExpiry(now time.Time) time.Duration {
	if front := l.order.Front(); front != nil {
		return max(front.Value.(*entry).expires.Sub(now), time.Second)
	}
	return time.Second
}

// Size returns the number of keys and the bytes of response bodies held.
func (l *Ledger) Size() (keys, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.answerBytes
}
