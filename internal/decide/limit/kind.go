package limit

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
)

//go:generate stringer -type=Kind -linecomment

// Kind names a way to find the limit.
type Kind uint8

const (
	// Gradient compares latency with the low-load baseline of each operation.
	Gradient Kind = iota // gradient
	// AIMD adds one while all is well and cuts by a tenth after a sign of overload.
	AIMD // aimd
	// Fixed never moves.
	Fixed // fixed
)

// ParseKind returns the kind with the given name, or false.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, Fixed) }

// Sample is what one finished run tells of the upstream.
type Sample struct {
	Operation string
	// Latency is the upstream's own time, without its calls to other services.
	Latency time.Duration
	// InFlight is the number of runs when this one began, itself included.
	InFlight int
	// Shed means that the upstream declined the run.
	Shed bool
}

// Learner holds the limit; it is used by one goroutine at a time.
type Learner interface {
	// Limit returns how many requests may run at once, at least 1.
	Limit() int
	// Learn takes in one finished run.
	Learn(now time.Time, s Sample)
}

// New returns a learner of the kind that never exceeds the ceiling.
func New(k Kind, ceiling int) Learner {
	switch k {
	case AIMD:
		return NewAIMD(ceiling)
	case Fixed:
		return NewFixed(ceiling)
	default:
		return NewGradient(ceiling)
	}
}

// FixedLearner keeps the limit that it was given.
type FixedLearner int

// NewFixed returns a learner that never moves.
func NewFixed(limit int) FixedLearner { return FixedLearner(max(limit, 1)) }

// Limit returns the limit that was given.
func (f FixedLearner) Limit() int { return int(f) }

// Learn does nothing.
func (f FixedLearner) Learn(time.Time, Sample) {}
