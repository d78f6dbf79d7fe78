package call

import "github.com/foxtailhook/foxtailhook/internal/domain/enum"

//go:generate stringer -type=Outcome -linecomment
//go:generate stringer -type=Reason -linecomment
//go:generate stringer -type=Priority -linecomment

// Outcome tells a caller whether its request was run. Its zero value is no outcome, and callers are sent a failure for it.
type Outcome uint8

const (
	// Unset means that nothing was decided.
	Unset Outcome = iota // unset
	// Whole means that the upstream's complete response is passed on.
	Whole // whole
	// NotRun means that no upstream executed any part of the request.
	NotRun // notRun
	// Unknown means that an upstream may have executed the request.
	Unknown // outcomeUnknown
)

// Reason names the cause of an outcome other than Whole.
type Reason uint8

const (
	// None is the reason of a response with outcome Whole.
	None Reason = iota // none
	// BadRequest means that the request is malformed.
	BadRequest // badRequest
	// UnknownKey means that the organisation key is missing, wrong or withdrawn.
	UnknownKey // unknownKey
	// UnknownOperation means that no listed operation matches method and path.
	UnknownOperation // unknownOperation
	// NotAllowed means that the organisation's plan lacks the operation.
	NotAllowed // notAllowed
	// OverRate means that the organisation has used up its rate limit and burst.
	OverRate // overRate
	// Overloaded means that the upstream's queue has no capacity for this request.
	Overloaded // overloaded
	// NoUpstream means that no live instance of the service is known.
	NoUpstream // noUpstream
	// DeadlineTooNear means that the request can't finish before its deadline.
	DeadlineTooNear // deadlineTooNear
	// TooLarge means that the body or the header exceeds its size limit.
	TooLarge // tooLarge
	// Draining means that the host is shutting down and accepts no new requests.
	Draining // draining
	// NotReady means that the daemon has no current lists yet.
	NotReady // notReady
	// BudgetSpent means that the attempt budget of the call chain is used up.
	BudgetSpent // budgetSpent
	// Repeated means that an earlier request had the same idempotency key.
	Repeated // repeated
	// UpstreamShed means that the upstream itself declined to run the request.
	UpstreamShed // upstreamShed
	// AnswerLost means that the request was sent and no complete response was received.
	AnswerLost // answerLost
	// Cancelled means that the caller closed the connection. A caller that reads on nevertheless is sent an ordinary failure.
	Cancelled // cancelled
	// Undecided means that hosts that may know the idempotency key are unreachable.
	Undecided // undecided
	// TimedOut means that the deadline passed while the request was running.
	TimedOut // timedOut
	// ZoneDrained means that every instance of the service is in an availability zone that the operator has drained.
	ZoneDrained // zoneDrained
	// WarmingUp means that the upstream has just started and may receive only a few requests a second.
	WarmingUp // warmingUp
	// NoAllowedRegion means that no instance of the service is in a region in which the request may run.
	NoAllowedRegion // noAllowedRegion
	// UpstreamLimited means that the upstream takes only so many requests a second, as its responses state.
	UpstreamLimited // upstreamLimited
	// InstanceSlow means that the instance is slow now and another one may run the request.
	InstanceSlow // instanceSlow
	// WouldOutlast means that the request is likely to run longer than a daemon on its way, which is shutting down.
	WouldOutlast // wouldOutlast
	// Quarantined means that several instances have crashed while they ran requests with this content.
	Quarantined // quarantined
	// Suspected means that instances have crashed under this content, so that it runs on one instance at a time, and that one has no time for it.
	Suspected // suspected
	// NoRoom means that a host on the request's way has no memory for its body in time.
	NoRoom // noRoom
)

// Priority orders requests under overload; a higher priority is shed later.
type Priority uint8

const (
	// Background is for requests whose response nobody waits for.
	Background Priority = iota // background
	// Standard is for requests whose response is expected soon.
	Standard // standard
	// Interactive is for requests that a person waits for, and for bookings.
	Interactive // interactive
	// Nested is for sub-calls: shedding one wastes the work of the request that made it. It can't be configured for an operation.
	Nested // nested
)

// Priorities is the number of distinct priorities.
const Priorities = int(Nested) + 1

// ParsePriority returns the priority with the given name, or false.
func ParsePriority(name string) (Priority, bool) { return enum.Parse(name, Interactive) }

// Status returns the HTTP status code of a refusal or failure for this reason.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return statusUnavailable
}

// Temporary reports whether a client retry after a delay can succeed.
func (r Reason) Temporary() bool {
	switch r {
	case OverRate, Overloaded, NoUpstream, Draining, NotReady, UpstreamShed, DeadlineTooNear, Undecided, ZoneDrained, WarmingUp, NoAllowedRegion,
		UpstreamLimited, InstanceSlow, WouldOutlast, Quarantined, Suspected, NoRoom:
		return true
	default:
		return false
	}
}

// ComeBack is the former name of Temporary.
//
// Deprecated: use Temporary.
func (r Reason) ComeBack() bool { return r.Temporary() }

// Overload reports whether the reason is an overload: a lack of capacity to run the request in time.
func (r Reason) Overload() bool {
	switch r {
	case Overloaded, DeadlineTooNear, UpstreamShed, WarmingUp, UpstreamLimited:
		return true
	default:
		return false
	}
}

const (
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusForbidden       = 403
	statusNotFound        = 404
	statusConflict        = 409
	statusTooLarge        = 413
	statusTooManyRequests = 429
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusTimeout         = 504
)

var statuses = map[Reason]int{
	BadRequest:       statusBadRequest,
	UnknownKey:       statusUnauthorized,
	UnknownOperation: statusNotFound,
	NotAllowed:       statusForbidden,
	OverRate:         statusTooManyRequests,
	Overloaded:       statusUnavailable,
	NoUpstream:       statusUnavailable,
	DeadlineTooNear:  statusTimeout,
	TooLarge:         statusTooLarge,
	Draining:         statusUnavailable,
	NotReady:         statusUnavailable,
	BudgetSpent:      statusUnavailable,
	Repeated:         statusConflict,
	UpstreamShed:     statusUnavailable,
	AnswerLost:       statusBadGateway,
	Cancelled:        statusBadGateway,
	Undecided:        statusUnavailable,
	TimedOut:         statusTimeout,
	ZoneDrained:      statusUnavailable,
	WarmingUp:        statusUnavailable,
	NoAllowedRegion:  statusUnavailable,
	UpstreamLimited:  statusUnavailable,
	InstanceSlow:     statusUnavailable,
	WouldOutlast:     statusUnavailable,
	Quarantined:      statusUnavailable,
	Suspected:        statusUnavailable,
	NoRoom:           statusUnavailable,
}
