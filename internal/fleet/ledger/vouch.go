package ledger

import (
	"maps"
	"math"
	"time"
)

// Evidence is all that decides whether a key's request may run.
type Evidence struct {
	// Self is the asking daemon, Own its memory, Moves what it noted of the key before.
	Self  string
	Own   RecallReply
	Moves []Move
	// Window is how long keys are remembered.
	Window time.Duration
	// Need is how far back memories must reach: the key's greatest age.
	Need time.Duration
	// Required are the daemons that may have held the key within that time.
	Required []string
	// Replies are the memories of those that answered.
	Replies map[string]RecallReply
}

// Known returns what another daemon remembers of the key, or false.
func (q *Evidence) Known() (RecallReply, bool) {
	for _, m := range q.Replies {
		if m.State != Absent && m.State != Moved {
			return m, true
		}
	}
	return RecallReply{}, false
}

// New reports whether no daemon can have run the key's request.
//
// Each daemon that may have held the key must remember far enough back, itself
// or through the memory that it passed on when it left. A daemon that crashed or
// can't be reached leaves a doubt, and in doubt nothing runs: a second charge is
// worse than an answer that says the outcome is unknown. A key that went to a
// daemon which has since lost its memory is doubtful too.
func (q *Evidence) New() bool {
	if _, known := q.Known(); known {
		return false
	}
	if !q.allCovered(q.Required) || !q.settled(q.Moves) {
		return false
	}
	for _, m := range q.Replies {
		if !q.allCovered(m.Required) || !q.settled(m.Moves) {
			return false
		}
	}
	return true
}

// Pending reports whether nothing but the silence of daemons keeps the key in doubt, so that the same question may be answered later.
//
// A region that is away has lost no memory. Would its silence be told like a crash, callers would be told
// that coming back does not help, and find out by hand what became of bookings that nobody had begun.
func (q *Evidence) Pending() bool {
	heard := *q
	heard.Replies = maps.Clone(q.Replies)
	if heard.Replies == nil {
		heard.Replies = map[string]RecallReply{}
	}
	for _, host := range q.wanted() {
		if _, ok := q.age(host); !ok {
			heard.Replies[host] = RecallReply{Age: math.MaxInt64}
		}
	}
	return !q.New() && heard.New()
}

// wanted returns the daemons whose word the answer needs, as far as this one and those heard know.
func (q *Evidence) wanted() []string {
	hosts, moves := q.Required, q.Moves
	for _, m := range q.Replies {
		hosts, moves = append(hosts[:len(hosts):len(hosts)], m.Required...), append(moves[:len(moves):len(moves)], m.Moves...)
	}
	for _, m := range moves {
		hosts = append(hosts[:len(hosts):len(hosts)], m.To)
	}
	return hosts
}

// Asking reports whether the other daemons have to be asked at all; in a fleet
// whose hosts stay the same, a holder knows by itself.
func (q *Evidence) Asking() bool {
	for _, host := range q.Required {
		if host != q.Self {
			return true
		}
	}
	return len(q.Moves) > 0 || q.Own.Age < q.Need
}

func (q *Evidence) allCovered(hosts []string) bool {
	for _, host := range hosts {
		if !q.covered(host) {
			return false
		}
	}
	return true
}

// covered reports whether a daemon's memory, or one that it passed on, reaches back far enough.
func (q *Evidence) covered(host string) bool {
	if age, ok := q.age(host); ok && age >= q.Need {
		return true
	}
	if q.Own.Legacies[host] >= q.Need {
		return true
	}
	for _, m := range q.Replies {
		if m.Legacies[host] >= q.Need {
			return true
		}
	}
	return false
}

// settled reports whether the daemons that a key went to still have the memory of that time.
func (q *Evidence) settled(moves []Move) bool {
	for _, m := range moves {
		age, ok := q.age(m.To)
		if !ok || (age <= m.Ago && age < q.Window) {
			return false
		}
	}
	return true
}

func (q *Evidence) age(host string) (time.Duration, bool) {
	if host == q.Self {
		return q.Own.Age, true
	}
	m, ok := q.Replies[host]
	return m.Age, ok
}
