package mechanism

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
)

//go:generate stringer -type=Mechanism -linecomment

// Mechanism is a decision that can be disabled.
type Mechanism uint8

const (
	// Plan computes the admitted fraction of each class at the collector; without it, ingress daemons shed load by the saturation that
	// responses report.
	Plan Mechanism = iota // plan
	// PlannedRetries makes the plan allow for the retries of requests that an instance doesn't run.
	PlannedRetries // plannedRepeats
	// LentRetries grants daemons the retry rate that other daemons leave unused.
	LentRetries // lentRepeats
	// RetryDeclined retries requests at instances that declined them.
	RetryDeclined // offersAgain
	// CallFailures prevents retries of requests whose failure was caused by a failed sub-call.
	CallFailures // callFailures
	// RankedSubcalls queues sub-calls by the rank of the caller's request; without it, all sub-calls have priority over other requests.
	RankedSubcalls // rankedCalls
	// Zones keeps requests in their availability zone while their remaining time allows it.
	Zones // zones
	// FaultAvoidance sends fewer requests to instances that fail or decline them.
	FaultAvoidance // faults
	// TargetedRetryAfter keeps the Retry-After delay of rejected requests within their route's latency target.
	TargetedRetryAfter // timelyReturns
	// ColdPacing limits the requests to an instance that has just started.
	ColdPacing // coldPace
	// PositionalMessages encodes messages between daemons of the same release by position instead of by field name.
	PositionalMessages // positionalMessages
	// ZoneFetches fetches changes from a daemon of the same availability zone where it has them.
	ZoneFetches // zoneFetches
	// ShortCalls reserves slots for short sub-calls on instances whose slots are held by long requests.
	ShortCalls // shortCalls
	// LongWaits lets requests with a long latency target wait longer for a slot.
	LongWaits // longWaits
	// NoRetryRequests admits requests without retries at a service that declines some, where the retry budget has none for them.
	NoRetryRequests // noRetryRequests
	// OrganisationShares makes organisations that send far more than usual bear a shortage first.
	OrganisationShares // organisationShares
	// BacklogRetryAfter computes the Retry-After delay of organisations above their rate from their backlog over the fleet.
	BacklogRetryAfter // backlogReturns
	// InstanceSpeed sends requests by the slowness that instances state and by their own speeds, and redirects requests from slow ones.
	InstanceSpeed // instanceSpeed
	// Quarantine refuses content under which several instances have crashed.
	Quarantine // quarantine
)

const last = Quarantine

// Names returns the names of all mechanisms, in order of declaration.
func Names() []string {
	var names []string
	for m := Plan; m <= last; m++ {
		names = append(names, m.String())
	}
	return names
}

// Set is a set of mechanisms; the zero value is empty.
type Set struct{ bits uint32 }

// SetOf returns the set of the mechanisms.
func SetOf(mechanisms ...Mechanism) Set {
	var s Set
	for _, m := range mechanisms {
		s.bits |= 1 << m
	}
	return s
}

// Has reports whether the mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s.bits&(1<<m) != 0 }

// Parse reads a comma-separated list of names; the error lists the known ones.
func Parse(names string) (Set, error) {
	var s Set
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if name == "" {
			continue
		}
		m, ok := enum.Parse(name, last)
		if !ok {
			return Set{}, errors.Errorf("unknown mechanism %q; known are %s", name, strings.Join(Names(), ", "))
		}
		s.bits |= 1 << m
	}
	return s, nil
}

// String returns the names as a comma-separated list.
func (s Set) String() string {
	names := Names()
	names = slices.DeleteFunc(names, func(name string) bool {
		m, _ := enum.Parse(name, last)
		return !s.Has(m)
	})
	return strings.Join(names, ",")
}
