package mechanism

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
)

//go:generate stringer -type=Mechanism -linecomment

// Mechanism is one decision that can be switched off.
type Mechanism uint8

const (
	// Plan works out at the collector which part of each lane is begun; without it, fronts go by what their answers bring back.
	Plan Mechanism = iota // plan
	// PlannedRetries makes the plan count the repeats that requests need where part of them come to nothing.
	PlannedRetries // plannedRepeats
	// LentRetries lets daemons repeat what others may and don't.
	LentRetries // lentRepeats
	// RetryDeclined offers requests again to instances that declined them.
	RetryDeclined // offersAgain
	// CallFailures keeps requests from being repeated whose calls failed.
	CallFailures // callFailures
	// RankedSubcalls queues calls by the rank of the callers' requests; without it, all calls go first.
	RankedSubcalls // rankedCalls
	// Zones keeps requests in their availability zone while their time allows it.
	Zones // zones
	// FaultAvoidance sends less to instances that fail or turn away requests.
	FaultAvoidance // faults
	// TargetedRetryAfter tells refused callers to come back within their route's target.
	TargetedRetryAfter // timelyReturns
)

const last = TargetedRetryAfter

// Names returns the names of all mechanisms.
func Names() []string {
	var all []string
	for m := Plan; m <= last; m++ {
		all = append(all, m.String())
	}
	return all
}

// Set is some mechanisms; the zero value has none.
type Set struct{ bits uint32 }

// SetOf returns the set of the mechanisms.
func SetOf(all ...Mechanism) Set {
	var s Set
	for _, m := range all {
		s.bits |= 1 << m
	}
	return s
}

// Has reports whether the mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s.bits&(1<<m) != 0 }

// Parse reads names that are separated by commas; the error tells the names that exist.
func Parse(names string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		m, ok := enum.Parse(name, last)
		if !ok {
			return Set{}, errors.Errorf("%q is no mechanism; there are %s", name, strings.Join(Names(), ", "))
		}
		s.bits |= 1 << m
	}
	return s, nil
}

// String returns the names, separated by commas.
func (s Set) String() string {
	names := Names()
	names = slices.DeleteFunc(names, func(name string) bool {
		m, _ := enum.Parse(name, last)
		return !s.Has(m)
	})
	return strings.Join(names, ",")
}
