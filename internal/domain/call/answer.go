package call

import (
	"time"
)

// Answer is what comes back for one request.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	Header     Header
	Body       []byte
	RetryAfter time.Duration
	BudgetLeft int
	Load       Load
}

// Load is what a host says of itself with each answer.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// Pressure is the share of recent work refused at this service or deeper, 0 to 1.
	Pressure float64
}

// Refuse returns an answer for a request that was not run; retryAfter zero means that coming back won't help.
func Refuse(reason Reason, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Reason: reason, Status: reason.Status(), RetryAfter: retryAfter}
}

// Lose returns an answer for a request that may have been run.
func Lose(reason Reason) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Status: reason.Status()}
}
