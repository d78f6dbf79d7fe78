package admission

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/admission"
	"github.com/foxtailhook/foxtailhook/parts/limit"
)

// Gate is the concurrency limit and the queue of one upstream; it is safe for
// concurrent use.
//
// Arrive decides on a new request, Leave ends the wait of one that has expired or
// whose caller has given up, and Settle records the end of a run and starts waiting requests.
type Gate = admission.Gate

// Ticket is one request at a gate; it must not be copied, nor reused before the request is over.
type Ticket = admission.Ticket

// Waiter receives the decision on a waiting ticket, once; Decide must return at once and not call the gate.
type Waiter = admission.Waiter

// Decision is a verdict, with the reason and the Retry-After delay of a refusal.
type Decision = admission.Decision

// Result says how a run ended: the upstream's own time, and whether it ran the request at all.
type Result = admission.Result

// Option configures a gate.
type Option = admission.Option

// The verdicts: run now, wait until the ticket's Waiter is called, or refused.
const (
	Run    = admission.Run
	Wait   = admission.Wait
	Refuse = admission.Refuse
)

// WithWait sets the maximum wait of requests whose ticket sets none, 250 ms by default.
func WithWait(d time.Duration) Option { return admission.WithWait(d) }

// WithLength sets the maximum number of waiting requests, 1,024 by default.
func WithLength(requests int) Option { return admission.WithLength(requests) }

// New returns a gate with the concurrency limit of the learner and a fair queue.
func New(learner limit.Learner, opts ...Option) *Gate { return admission.New(learner, opts...) }
