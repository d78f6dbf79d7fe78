package ledger

import (
	"container/list"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Ledger is one daemon's memory of keys, bounded in keys, bytes and time.
//
// It is for callers that repeat a charge because its answer was late, and for
// floods of new keys: when it is full it takes no more, since forgetting a key
// early would let a repeat run again. One organisation can fill half of it, so
// that the others' requests are still taken.
type Ledger struct {
	window time.Duration
	keys   int
	bytes  int

	mu       sync.Mutex
	born     time.Time
	entries  map[Key]*entry
	order    *list.List
	held     int
	perOrg   map[string]int
	legacies map[string]legacy
}

// entry is what is known of one key.
type entry struct {
	key         Key
	fingerprint Fingerprint
	state       State
	answer      call.Answer
	kept        bool
	done        chan struct{}
	until       time.Time
	at          *list.Element

	// moves are the daemons that asked for the key, with the time when each first did.
	moves map[string]time.Time
}

// legacy is the memory that a daemon passed on when it left.
type legacy struct {
	since time.Time
	until time.Time
}

// New returns an empty ledger that remembers each key for the window, at most so many keys and bytes of answers.
func New(window time.Duration, keys, bytes int, now time.Time) *Ledger {
	return &Ledger{
		window: window, keys: keys, bytes: bytes, born: now,
		entries: map[Key]*entry{}, order: list.New(), perOrg: map[string]int{}, legacies: map[string]legacy{},
	}
}

// Ticket is a request's part in a key's story.
type Ticket struct {
	Claim  Claim
	Answer call.Answer
	// Done is closed when the request that has the key is over.
	Done <-chan struct{}
	// Moves are the daemons that the key went to before; if there are any, the others must be asked.
	Moves []Move
	// Wait is when there may be room again.
	Wait time.Duration
}

// Begin claims a key for a request.
func (l *Ledger) Begin(k Key, p Fingerprint, now time.Time) Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	e, ok := l.entries[k]
	if !ok {
		e, ok = l.add(k, now)
		if !ok {
			return Ticket{Claim: Full, Wait: l.roomIn(now)}
		}
	} else if e.state != Moved && e.fingerprint != p {
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
	e.fingerprint = p
	e.done = make(chan struct{})
	return Ticket{Claim: Begun, Moves: e.moved(now)}
}

func (l *Ledger) replay(e *entry) Ticket {
	if !e.kept {
		return Ticket{Claim: Doubtful}
	}
	return Ticket{Claim: Answered, Answer: e.answer}
}

// Finish ends the run that Begin allowed. A request that was not run leaves nothing behind.
func (l *Ledger) Finish(k Key, a call.Answer, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[k]
	if !ok || e.state != Running {
		return
	}
	close(e.done)
	l.touch(e, now)
	switch a.Outcome {
	case call.NotRun:
		l.rest(e)
	case call.Whole:
		e.state = Finished
		l.keep(e, a)
	default:
		e.state = Lost
	}
}

// Release gives a key back whose request was not let run.
func (l *Ledger) Release(k Key, now time.Time) {
	l.Finish(k, call.Refuse(call.Repeated, 0), now)
}

// rest puts an entry back to what it was before its request.
func (l *Ledger) rest(e *entry) {
	if len(e.moves) == 0 {
		l.remove(e)
		return
	}
	e.state = Moved
}

// keep holds on to an answer if there is room; a repeat of one that is not kept is told that the outcome is unknown.
func (l *Ledger) keep(e *entry, a call.Answer) {
	if l.held+len(a.Body) > l.bytes {
		return
	}
	e.answer = a
	e.kept = true
	l.held += len(a.Body)
}

func (l *Ledger) add(k Key, now time.Time) (*entry, bool) {
	if len(l.entries) >= l.keys || l.perOrg[k.Organisation] >= l.keys/2 {
		return nil, false
	}
	e := &entry{key: k, until: now.Add(l.window)}
	e.at = l.order.PushBack(e)
	l.entries[k] = e
	l.perOrg[k.Organisation]++
	return e, true
}

func (l *Ledger) touch(e *entry, now time.Time) {
	e.until = now.Add(l.window)
	l.order.MoveToBack(e.at)
}

func (l *Ledger) remove(e *entry) {
	l.order.Remove(e.at)
	delete(l.entries, e.key)
	l.held -= len(e.answer.Body)
	if l.perOrg[e.key.Organisation]--; l.perOrg[e.key.Organisation] <= 0 {
		delete(l.perOrg, e.key.Organisation)
	}
}

// expire forgets what is older than the window; a request still at work is kept whatever its age.
func (l *Ledger) expire(now time.Time) {
	for at := l.order.Front(); at != nil; at = l.order.Front() {
		e := at.Value.(*entry)
		if now.Before(e.until) {
			break
		}
		if e.state == Running {
			l.touch(e, now)
			continue
		}
		l.remove(e)
	}
	for host, passed := range l.legacies {
		if !now.Before(passed.until) {
			delete(l.legacies, host)
		}
	}
}

func (l *Ledger) roomIn(now time.Time) time.Duration {
	if front := l.order.Front(); front != nil {
		return max(front.Value.(*entry).until.Sub(now), time.Second)
	}
	return time.Second
}

// Size returns the number of keys and the bytes of answers held.
func (l *Ledger) Size() (keys, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries), l.held
}
