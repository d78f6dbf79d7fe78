package call

import (
	"time"
)

// Answer is the response to one request, with its outcome and the load of the host that sent it.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  Header
	Body    []byte
	// Held is the memory that is held for the body and for a large head, nil if none is.
	Held       Memory
	RetryAfter time.Duration
	BudgetLeft int
	Load       Load
}

// Memory is memory that is held until Release.
type Memory interface{ Release() }

// Release gives back the memory that is held for the body, which must not be used any more.
func (a *Answer) Release() {
	if a.Held != nil {
		a.Held.Release()
	}
}

// Load is the load of a host, sent with each response.
type Load struct {
	InFlight int `json:"inFlight" msgpack:"inFlight"`
	Queued   int `json:"queued" msgpack:"queued"`
	Limit    int `json:"limit" msgpack:"limit"`
	// Pressure is 1 if the request failed because this service or one further down the call path is overloaded, else 0.
	Pressure float64 `json:"-" msgpack:"pressure"`
	// Slowness is how long work takes on the host's instance now, relative to normal; 0 means that the instance doesn't state it.
	Slowness float64 `json:"-" msgpack:"slowness,omitempty"`
}

// Refuse returns the response to a request that was not run; a zero retryAfter means that a client retry can't succeed.
func Refuse(reason Reason, retryAfter time.Duration) Answer {
	status := reason.Status()
	if reason == Cancelled {
		status = statusUnavailable
	}
	return Answer{Outcome: NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// UnknownOutcome returns the response to a request that may have been run.
func UnknownOutcome(reason Reason) Answer {
	return Answer{Outcome: Unknown, Reason: reason, Status: reason.Status()}
}
