package limit

import "github.com/foxtailhook/foxtailhook/internal/decide/limit"

// Learner holds the limit; it is used by one goroutine at a time.
//
// Limit returns how many may run at once, and Learn takes in one finished run.
type Learner = limit.Learner

// Sample is what one finished run tells of the upstream; latencies are those of the run alone, without waiting.
type Sample = limit.Sample

// NewGradient returns a learner that compares latency with its low-load
// baseline and never exceeds the ceiling, in requests at once.
func NewGradient(ceiling int) Learner { return limit.NewGradient(ceiling) }

// NewAIMD returns a learner that adds one in a busy window and cuts by a tenth in one with signs of overload, never above the ceiling.
func NewAIMD(ceiling int) Learner { return limit.NewAIMD(ceiling) }

// NewFixed returns a learner that never moves.
func NewFixed(requests int) Learner { return limit.NewFixed(requests) }
