package placing

import "github.com/foxtailhook/foxtailhook/internal/domain/enum"

//go:generate stringer -type=Kind -linecomment
//go:generate stringer -type=Ending -linecomment

// Kind names a way to choose a host.
type Kind uint8

const (
	// TwoChoices takes the better of two random hosts, one of them in the own availability zone.
	TwoChoices Kind = iota // twoChoices
	// RoundRobin takes the hosts in turn.
	RoundRobin // roundRobin
	// LeastLatency takes the host with the lowest latency of all.
	LeastLatency // leastLatency
)

// ParseKind returns the kind with the given name, or false.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, LeastLatency) }

// Ending is how a placed request ended, as far as it tells of the host.
type Ending uint8

const (
	// Served means that the host's upstream answered.
	Served Ending = iota // served
	// Faulty means that the upstream answered with a fault of its own.
	Faulty // faulty
	// Declined means that the host refused for overload.
	Declined // declined
	// Failed means that the host was not reached or gave no whole answer.
	Failed // failed
	// Silent means that the ending tells nothing of the host.
	Silent // silent
)
