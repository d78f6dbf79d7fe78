package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/parts/limit"
)

// Gate is the limit and the queue of one upstream; it is safe for concurrent use.
//
// Arrive decides on a new request, Leave ends a wait whose time is up, and
// Settle ends a run and starts what waits.
type Gate = admission.Gate

// Ticket is one request at a gate; it must not be copied or used again before it is over.
type Ticket = admission.Ticket

// Waiter is told once how a wait ended; it must return at once and not call the gate.
type Waiter = admission.Waiter

// Decision is a verdict with the reason of a refusal and when to come back.
type Decision = admission.Decision

// Result is how a run ended.
type Result = admission.Result

// Option sets one property of a gate.
type Option = admission.Option

// The verdicts: run now, wait for the ticket's Waiter, or refused for good.
const (
	Run    = admission.Run
	Wait   = admission.Wait
	Refuse = admission.Refuse
)

// WithWait sets the longest wait, 250 ms by default.
func WithWait(d time.Duration) Option { return admission.WithWait(d) }

// WithLength sets how many requests may wait, 1,024 by default.
func WithLength(requests int) Option { return admission.WithLength(requests) }

// New returns a gate with the limit and a fair queue.
func New(l limit.Learner, opts ...Option) *Gate { return admission.New(l, opts...) }
