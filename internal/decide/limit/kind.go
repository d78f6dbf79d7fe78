package limit

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
)

//go:generate stringer -type=Kind -linecomment

// Kind is an algorithm that sets the limit.
type Kind uint8

const (
	// Gradient compares latency with the low-load baseline of each operation.
	Gradient Kind = iota // gradient
	// AIMD raises the limit by one after a busy window and lowers it by a tenth after a window with signs of overload.
	AIMD // aimd
	// Fixed never changes the limit.
	Fixed // fixed
)

// ParseKind returns the kind with the given name; false if there is none.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, Fixed) }

// Sample is the measurement of one finished run.
type Sample struct {
	Operation string
	// Latency is the upstream's own time, without its sub-calls.
	Latency time.Duration
	// InFlight is the number of runs when this one began, including itself.
	InFlight int
	// Shed means that the upstream declined the run.
	Shed bool
}

// Learner holds the limit; it isn't safe for concurrent use.
type Learner interface {
	// Limit returns how many requests may run at once, at least 1.
	Limit() int
	// Learn records one finished run and may change the limit.
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

// FixedLearner keeps a constant limit.
type FixedLearner int

// NewFixed returns a learner with a constant limit.
func NewFixed(limit int) FixedLearner { return FixedLearner(max(limit, 1)) }

// Limit returns the constant limit.
func (f FixedLearner) Limit() int { return int(f) }

// Learn does nothing.
func (f FixedLearner) Learn(time.Time, Sample) {}
