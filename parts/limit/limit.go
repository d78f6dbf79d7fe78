package limit

import "github.com/foxtailhook/foxtailhook/internal/decide/limit"

// Learner holds the concurrency limit; it isn't safe for concurrent use.
//
// Limit returns how many requests may run at once, and Learn records one
// finished run.
type Learner = limit.Learner

// Sample is the measurement of one finished run; its latency excludes the wait in the queue and sub-calls.
type Sample = limit.Sample

// NewGradient returns a learner that compares latency with its low-load
// baseline; its limit never exceeds the ceiling, in concurrent requests.
func NewGradient(ceiling int) Learner { return limit.NewGradient(ceiling) }

// NewAIMD returns a learner that raises its limit by one after a busy window, up to the ceiling, and lowers it by a tenth
// after one with signs of overload.
func NewAIMD(ceiling int) Learner { return limit.NewAIMD(ceiling) }

// NewFixed returns a learner with a constant limit.
func NewFixed(requests int) Learner { return limit.NewFixed(requests) }
