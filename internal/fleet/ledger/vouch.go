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
	// Transfers are the daemons that recalled the key from the asking daemon earlier.
	Transfers []Transfer
	// Window is how long keys are remembered.
	Window time.Duration
	// MaxKeyAge is how far back records must reach: the key's maximum age.
	MaxKeyAge time.Duration
	// PossibleHolders are the daemons that may have held the key within that time.
	PossibleHolders []string
	// Replies are the replies to the recall, by host.
	Replies map[string]RecallReply
}

// Known returns another daemon's reply that has a record of the key's request, or false.
func (e *Evidence) Known() (RecallReply, bool) {
	for _, reply := range e.Replies {
		if reply.State != Absent && reply.State != Transferred {
			return reply, true
		}
	}
	return RecallReply{}, false
}

// ProvesNew reports whether no daemon can have run the key's request.
//
// For each daemon that may have held the key, records must reach far enough back:
// its own, or those that it handed over when it left. A daemon that crashed or
// can't be reached leaves doubt, and in doubt the request does not run: a second
// charge is worse than a response that the outcome is unknown. A key that was
// transferred to a daemon which has since lost its records is in doubt too.
func (e *Evidence) ProvesNew() bool {
	if _, known := e.Known(); known {
		return false
	}
	if !e.allCovered(e.PossibleHolders) || !e.transfersCovered(e.Transfers) {
		return false
	}
	for _, reply := range e.Replies {
		if !e.allCovered(reply.PossibleHolders) || !e.transfersCovered(reply.Transfers) {
			return false
		}
	}
	return true
}

// OnlyRepliesMissing reports whether only missing replies keep the key in doubt, so that a later recall may settle it.
//
// An unreachable region has lost no records. If its silence were reported like a crash, callers would be told
// that a retry does not help, and would have to check by hand for bookings that were never begun.
func (e *Evidence) OnlyRepliesMissing() bool {
	assumed := *e
	assumed.Replies = maps.Clone(e.Replies)
	if assumed.Replies == nil {
		assumed.Replies = map[string]RecallReply{}
	}
	for _, host := range e.hostsNeeded() {
		if _, ok := e.memoryAge(host); !ok {
			assumed.Replies[host] = RecallReply{MemoryAge: math.MaxInt64}
		}
	}
	return !e.ProvesNew() && assumed.ProvesNew()
}

// hostsNeeded returns the daemons whose replies the decision needs, according to this daemon and the replies received.
func (e *Evidence) hostsNeeded() []string {
	hosts, transfers := e.PossibleHolders, e.Transfers
	for _, reply := range e.Replies {
		hosts, transfers = append(hosts[:len(hosts):len(hosts)], reply.PossibleHolders...), append(transfers[:len(transfers):len(transfers)], reply.Transfers...)
	}
	for _, transfer := range transfers {
		hosts = append(hosts[:len(hosts):len(hosts)], transfer.To)
	}
	return hosts
}

// NeedsRecall reports whether the key has to be recalled from other daemons; while
// the host list is unchanged, the holder's own records are enough.
func (e *Evidence) NeedsRecall() bool {
	for _, host := range e.PossibleHolders {
		if host != e.Self {
			return true
		}
	}
	return len(e.Transfers) > 0 || e.Own.MemoryAge < e.MaxKeyAge
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
	if age, ok := e.memoryAge(host); ok && age >= e.MaxKeyAge {
		return true
	}
	if e.Own.Inherited[host] >= e.MaxKeyAge {
		return true
	}
	for _, reply := range e.Replies {
		if reply.Inherited[host] >= e.MaxKeyAge {
			return true
		}
	}
	return false
}

// transfersCovered reports whether the daemons that a key was transferred to still have their records since then.
func (e *Evidence) transfersCovered(transfers []Transfer) bool {
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
		return e.Own.MemoryAge, true
	}
	reply, ok := e.Replies[host]
	return reply.MemoryAge, ok
}
