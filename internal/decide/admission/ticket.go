package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

//go:generate stringer -type=Verdict -linecomment

// Verdict tells what becomes of a request.
type Verdict uint8

const (
	// Run means that the request holds a slot until it is settled.
	Run Verdict = iota // run
	// Wait means that the ticket's Waiter will be told.
	Wait // wait
	// Refuse means that the request was not and will not be run here.
	Refuse // refuse
)

// Decision is a verdict with the reason of a refusal and when to come back.
type Decision struct {
	Verdict    Verdict
	Reason     call.Reason
	RetryAfter time.Duration
}

// Waiter is told once how a wait ended; it must return at once and not call the gate.
type Waiter interface {
	Decide(d Decision)
}

// Ticket is one request at a gate; it must not be copied or used again before it is over.
type Ticket struct {
	Organisation string
	Operation    string
	Weight       int
	Priority     call.Priority
	Deadline     time.Time
	// Patience is the longest wait of this request; 0 means the gate's.
	Patience time.Duration
	Waiter   Waiter

	item     queue.Item[*Ticket]
	begun    time.Time
	inFlight int
	startBy  time.Time
}

// StartBy returns the latest start of a waiting ticket; Leave must be called when it passes.
func (t *Ticket) StartBy() time.Time { return t.startBy }

// Result is how a run ended.
type Result struct {
	// Own is the upstream's own time, without its calls to other services.
	Own time.Duration
	// Shed means that the upstream declined the run.
	Shed bool
	// Withdrawn means that the request did not run after all and tells nothing of the upstream.
	Withdrawn bool
}
