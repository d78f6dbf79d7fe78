package ledger

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Move tells that a key went to another daemon, and how long ago it first did.
type Move struct {
	To  string        `msgpack:"to"`
	Ago time.Duration `msgpack:"ago"`
}

// RecallReply is a daemon's answer to another that wants to run a key's request.
type RecallReply struct {
	State       State       `msgpack:"state"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	Answer      call.Answer `msgpack:"answer"`
	Kept        bool        `msgpack:"kept"`
	Moves       []Move      `msgpack:"moves"`
	// Age is how far back the daemon remembers every key that it held.
	Age time.Duration `msgpack:"age"`
	// Legacies are the ages of the memories that others passed on to it.
	Legacies map[string]time.Duration `msgpack:"legacies"`
	// Lists is what the daemon says of its lists.
	Lists ListReport `msgpack:"word"`
	// Required are the daemons that may have held the key, as far as this one knows.
	Required []string `msgpack:"required"`
}

func (e *entry) moved(now time.Time) []Move {
	var all []Move
	for to, at := range e.moves {
		all = append(all, Move{To: to, Ago: now.Sub(at)})
	}
	return all
}

// move notes who asked; the first time counts, since a daemon that restarted since has forgotten what it did.
func (e *entry) move(to string, at time.Time) {
	if e.moves == nil {
		e.moves = map[string]time.Time{}
	}
	if first, ok := e.moves[to]; !ok || at.Before(first) {
		e.moves[to] = at
	}
}

// Recall answers the daemon that wants to run a key's request, and lets go of
// the key: from now on this daemon asks the others before it runs that request.
//
// Two daemons with different host lists can both take themselves for a key's
// holder. Whichever asks first fences the other; if both ask at once, each finds
// the other at it and neither runs the request.
func (l *Ledger) Recall(k Key, asker string, now time.Time) RecallReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	m := RecallReply{Age: l.age(now), Legacies: l.legacyAges(now)}
	e, ok := l.entries[k]
	if !ok {
		if e, ok = l.add(k, now); !ok {
			// What can't be fenced can't be vouched for.
			m.State = Lost
			return m
		}
		e.state = Moved
	}
	m.State, m.Fingerprint, m.Answer, m.Kept, m.Moves = e.state, e.fingerprint, e.answer, e.kept, e.moved(now)
	if e.state == Moved {
		m.State = Absent
		e.move(asker, now)
		l.touch(e, now)
	}
	return m
}

// Own returns the daemon's own memory of how far back it and its legacies reach.
func (l *Ledger) Own(now time.Time) RecallReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return RecallReply{Age: l.age(now), Legacies: l.legacyAges(now)}
}

func (l *Ledger) age(now time.Time) time.Duration { return min(now.Sub(l.born), l.window) }

func (l *Ledger) legacyAges(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(l.legacies))
	for host, passed := range l.legacies {
		ages[host] = min(now.Sub(passed.since), l.window)
	}
	return ages
}

// Record is one key of a memory that is passed on.
type Record struct {
	Key         Key         `msgpack:"key"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	State       State       `msgpack:"state"`
	Answer      call.Answer `msgpack:"answer"`
	Kept        bool        `msgpack:"kept"`
	Moves       []Move      `msgpack:"moves"`
}

// Records returns what a leaving daemon passes on; a request still at work counts as lost.
func (l *Ledger) Records(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var all []Record
	for at := l.order.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		state := e.state
		if state == Running {
			state = Lost
		}
		all = append(all, Record{
			Key: e.key, Fingerprint: e.fingerprint, State: state, Answer: e.answer, Kept: e.kept,
			Moves: e.moved(now),
		})
	}
	return all
}

// Inherit takes over a leaving daemon's memory, which reached back for age; false means that there was no room for all.
func (l *Ledger) Inherit(from string, records []Record, age time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for _, r := range records {
		if !l.inherit(r, now) {
			return false
		}
	}
	since := now.Add(-age)
	if before, ok := l.legacies[from]; ok && before.since.Before(since) {
		since = before.since
	}
	l.legacies[from] = legacy{since: since, until: now.Add(l.window)}
	return true
}

func (l *Ledger) inherit(r Record, now time.Time) bool {
	e, ok := l.entries[r.Key]
	if !ok {
		if e, ok = l.add(r.Key, now); !ok {
			return false
		}
		e.state = Moved
	}
	for _, m := range r.Moves {
		e.move(m.To, now.Add(-m.Ago))
	}
	if e.state != Moved || r.State == Moved {
		return true
	}
	e.state, e.fingerprint = r.State, r.Fingerprint
	if r.Kept {
		l.keep(e, r.Answer)
	}
	return true
}
