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
	InFlight int `json:"inFlight" msgpack:"inFlight"`
	Queued   int `json:"queued" msgpack:"queued"`
	Limit    int `json:"limit" msgpack:"limit"`
	// Pressure is 1 when the request failed for overload at this service or deeper, and 0 otherwise.
	Pressure float64 `json:"-" msgpack:"pressure"`
}

// Refuse returns an answer for a request that was not run; retryAfter zero means that coming back won't help.
func Refuse(reason Reason, retryAfter time.Duration) Answer {
	return Answer{Outcome: NotRun, Reason: reason, Status: reason.Status(), RetryAfter: retryAfter}
}

// Lose returns an answer for a request that may have been run.
func Lose(reason Reason) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Status: reason.Status()}
}
