package ledger

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Transfer records that another daemon recalled the key and may run its request, and how long ago it first recalled it.
type Transfer struct {
	To  string        `msgpack:"to"`
	Ago time.Duration `msgpack:"ago"`
}

// RecallReply is a daemon's reply to another one that recalls a key.
type RecallReply struct {
	State       State       `msgpack:"state"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	Answer      call.Answer `msgpack:"answer"`
	HasAnswer   bool        `msgpack:"kept"`
	Transfers   []Transfer  `msgpack:"moves"`
	// MemoryAge is how far back the daemon's own records are complete.
	MemoryAge time.Duration `msgpack:"age"`
	// Inherited says how far back the records reach that leaving daemons handed over to it, by host.
	Inherited map[string]time.Duration `msgpack:"legacies"`
	// Lists is the daemon's report on its host lists.
	Lists ListReport `msgpack:"word"`
	// PossibleHolders are the daemons that may have held the key, according to the replying daemon's lists.
	PossibleHolders []string `msgpack:"required"`
}

func (e *entry) transferList(now time.Time) []Transfer {
	var transfers []Transfer
	for to, at := range e.transfers {
		transfers = append(transfers, Transfer{To: to, Ago: now.Sub(at)})
	}
	return transfers
}

// recordTransfer records that a daemon recalled the key. It keeps the time of the first recall: a daemon
// that restarted after it has lost what it did with the key.
func (e *entry) recordTransfer(to string, at time.Time) {
	if e.transfers == nil {
		e.transfers = map[string]time.Time{}
	}
	if first, ok := e.transfers[to]; !ok || at.Before(first) {
		e.transfers[to] = at
	}
}

// Recall replies to a daemon that wants to run a key's request, and gives up
// the key: from now on this daemon recalls it from the others before it runs that request.
//
// Two daemons with different host lists can each consider itself the key's
// holder. Whichever recalls first fences the other; if both recall at the same
// time, each finds the request running at the other and neither runs it.
func (l *Ledger) Recall(k Key, asker string, now time.Time) RecallReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	reply := RecallReply{MemoryAge: l.memoryAge(now), Inherited: l.inheritedAges(now)}
	e, ok := l.entries[k]
	if !ok {
		if e, ok = l.add(k, now); !ok {
			// Without an entry this daemon could not fence itself off from the key, so it can't confirm the key as new.
			reply.State = Lost
			return reply
		}
		e.state = Transferred
	}
	reply.State, reply.Fingerprint, reply.Answer, reply.HasAnswer, reply.Transfers = e.state, e.fingerprint, e.answer, e.hasAnswer, e.transferList(now)
	if e.state == Transferred {
		reply.State = Absent
		e.recordTransfer(asker, now)
		l.renew(e, now)
	}
	return reply
}

// Coverage returns how far back the daemon's own and its inherited records reach.
func (l *Ledger) Coverage(now time.Time) RecallReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return RecallReply{MemoryAge: l.memoryAge(now), Inherited: l.inheritedAges(now)}
}

func (l *Ledger) memoryAge(now time.Time) time.Duration { return min(now.Sub(l.started), l.window) }

func (l *Ledger) inheritedAges(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(l.inherited))
	for host, inherited := range l.inherited {
		ages[host] = min(now.Sub(inherited.coveredSince), l.window)
	}
	return ages
}

// Record is the record of one key, as a leaving daemon hands it over.
type Record struct {
	Key         Key         `msgpack:"key"`
	Fingerprint Fingerprint `msgpack:"fingerprint"`
	State       State       `msgpack:"state"`
	Answer      call.Answer `msgpack:"answer"`
	HasAnswer   bool        `msgpack:"kept"`
	Transfers   []Transfer  `msgpack:"moves"`
}

// Records returns the records that a leaving daemon hands over; a running request counts as lost.
func (l *Ledger) Records(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var records []Record
	for element := l.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		state := e.state
		if state == Running {
			state = Lost
		}
		records = append(records, Record{
			Key: e.key, Fingerprint: e.fingerprint, State: state, Answer: e.answer, HasAnswer: e.hasAnswer,
			Transfers: e.transferList(now),
		})
	}
	return records
}

// Inherit adds a leaving daemon's records, which reach back for age; it returns false if there was no capacity for all.
func (l *Ledger) Inherit(from string, records []Record, age time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for _, record := range records {
		if !l.inheritRecord(record, now) {
			return false
		}
	}
	coveredSince := now.Add(-age)
	if earlier, ok := l.inherited[from]; ok && earlier.coveredSince.Before(coveredSince) {
		coveredSince = earlier.coveredSince
	}
	l.inherited[from] = inheritance{coveredSince: coveredSince, expires: now.Add(l.window)}
	return true
}

func (l *Ledger) inheritRecord(record Record, now time.Time) bool {
	e, ok := l.entries[record.Key]
	if !ok {
		if e, ok = l.add(record.Key, now); !ok {
			return false
		}
		e.state = Transferred
	}
	for _, transfer := range record.Transfers {
		e.recordTransfer(transfer.To, now.Add(-transfer.Ago))
	}
	if e.state != Transferred || record.State == Transferred {
		return true
	}
	e.state, e.fingerprint = record.State, record.Fingerprint
	if record.HasAnswer {
		l.keepAnswer(e, record.Answer)
	}
	return true
}
