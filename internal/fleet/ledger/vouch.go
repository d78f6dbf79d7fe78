package ledger

import (
	"maps"
	"math"
	"time"
)

// Evidence is everything that decides whether a key's request may run.
type Evidence struct {
	// Self is the asking daemon, and Own says how far back its records reach.
	Self string
	Own  RecallReply
	// Moves are the daemons that recalled the key from the asking daemon earlier.
	Moves []Move
	// Window is how long keys are remembered.
	Window time.Duration
	// Need is how far back records must reach: the key's maximum age.
	Need time.Duration
	// Required are the daemons that may have held the key within that time.
	Required []string
	// Replies are the replies to the recall, by host.
	Replies map[string]RecallReply
}

// Known returns another daemon's reply that has a record of the key's request, or false.
func (e *Evidence) Known() (RecallReply, bool) {
	for _, reply := range e.Replies {
		if reply.State != Absent && reply.State != Moved {
			return reply, true
		}
	}
	return RecallReply{}, false
}

// New reports whether no daemon can have run the key's request.
//
// For each daemon that may have held the key, records must reach far enough back:
// its own, or those that it handed over when it left. A daemon that crashed or
// can't be reached leaves doubt, and in doubt the request does not run: a second
// charge is worse than a response that the outcome is unknown. A key that was
// transferred to a daemon which has since lost its records is in doubt too.
func (e *Evidence) New() bool {
	if _, known := e.Known(); known {
		return false
	}
	if !e.allCovered(e.Required) || !e.transfersCovered(e.Moves) {
		return false
	}
	for _, reply := range e.Replies {
		if !e.allCovered(reply.Required) || !e.transfersCovered(reply.Moves) {
			return false
		}
	}
	return true
}

// Pending reports whether only missing replies keep the key in doubt, so that a later recall may settle it.
//
// An unreachable region has lost no records. If its silence were reported like a crash, callers would be told
// that a retry does not help, and would have to check by hand for bookings that were never begun.
func (e *Evidence) Pending() bool {
	assumed := *e
	assumed.Replies = maps.Clone(e.Replies)
	if assumed.Replies == nil {
		assumed.Replies = map[string]RecallReply{}
	}
	for _, host := range e.hostsNeeded() {
		if _, ok := e.memoryAge(host); !ok {
			assumed.Replies[host] = RecallReply{Age: math.MaxInt64}
		}
	}
	return !e.New() && assumed.New()
}

// hostsNeeded returns the daemons whose replies the decision needs, according to this daemon and the replies received.
func (e *Evidence) hostsNeeded() []string {
	hosts, transfers := e.Required, e.Moves
	for _, reply := range e.Replies {
		hosts, transfers = append(hosts[:len(hosts):len(hosts)], reply.Required...), append(transfers[:len(transfers):len(transfers)], reply.Moves...)
	}
	for _, transfer := range transfers {
		hosts = append(hosts[:len(hosts):len(hosts)], transfer.To)
	}
	return hosts
}

// Asking reports whether the key has to be recalled from other daemons; while
// the host list is unchanged, the holder's own records are enough.
func (e *Evidence) Asking() bool {
	for _, host := range e.Required {
		if host != e.Self {
			return true
		}
	}
	return len(e.Moves) > 0 || e.Own.Age < e.Need
}

func (e *Evidence) allCovered(hosts []string) bool {
	for _, host := range hosts {
		if !e.covered(host) {
			return false
		}
	}
	return true
}

// covered reports whether a daemon's records, its own or those that it handed over, reach back far enough.
func (e *Evidence) covered(host string) bool {
	if age, ok := e.memoryAge(host); ok && age >= e.Need {
		return true
	}
	if e.Own.Legacies[host] >= e.Need {
		return true
	}
	for _, reply := range e.Replies {
		if reply.Legacies[host] >= e.Need {
			return true
		}
	}
	return false
}

// transfersCovered reports whether the daemons that a key was transferred to still have their records since then.
func (e *Evidence) transfersCovered(transfers []Move) bool {
	for _, transfer := range transfers {
		age, ok := e.memoryAge(transfer.To)
		if !ok || (age <= transfer.Ago && age < e.Window) {
			return false
		}
	}
	return true
}

func (e *Evidence) memoryAge(host string) (time.Duration, bool) {
	if host == e.Self {
		return e.Own.Age, true
	}
	reply, ok := e.Replies[host]
	return reply.Age, ok
}
