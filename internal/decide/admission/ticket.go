package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is the result of an admission decision.
type Verdict uint8

const (
	// Run means that the request holds a slot until it is settled.
	Run Verdict = iota // run
	// Wait means that the ticket's Waiter will receive the decision.
	Wait // wait
	// Refuse means that this gate did not run the request and will not.
	Refuse // refuse
)

// Decision is a verdict, with the reason and the Retry-After delay of a refusal.
type Decision struct {
	Verdict    Verdict
	Reason     call.Reason
	RetryAfter time.Duration
}

// Waiter receives the decision on a waiting ticket, once; Decide must return at once and not call the gate.
type Waiter interface {
	Decide(d Decision)
}

// Ticket is one request at a gate; it must not be copied, nor reused before the request is over.
type Ticket struct {
	Organisation string
	Operation    string
	Weight       int
	Priority     call.Priority
	Deadline     time.Time
	// FinishBy is when the run must have ended with near certainty, since nobody could receive its response later; zero if there is no such time.
	FinishBy time.Time
	// UsualTime stands in for the running time of an operation that the gate hasn't seen; 0 if it is unknown.
	UsualTime time.Duration
	// Patience is the maximum wait of this request; 0 means the gate's default.
	Patience time.Duration
	// SubcallTarget is the target latency of a sub-call; 0 for other requests and if it is unknown.
	SubcallTarget time.Duration
	// Closed returns why the request must not wait, or call.None; nil means that it may. Enter asks once the ticket waits, so that none begins to
	// wait after RefuseWaiting.
	Closed func() call.Reason
	Waiter Waiter

	item      queue.Item[*Ticket]
	startedAt time.Time
	inFlight  int
	startBy   time.Time
	class     requestClass
}

// StartBy returns the latest start of a waiting ticket; Leave must be called when it passes.
func (t *Ticket) StartBy() time.Time { return t.startBy }

// Result is the result of a run.
type Result struct {
	// Own is the upstream's own time, without its sub-calls.
	Own time.Duration
	// Shed means that the upstream declined the run.
	Shed bool
	// Withdrawn means that the request did not run after all and carries no information on the upstream.
	Withdrawn bool
}
