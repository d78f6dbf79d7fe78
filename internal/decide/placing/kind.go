package placing

import "github.com/foxtailhook/foxtailhook/internal/domain/enum"

//go:generate stringer -type=Kind -linecomment
//go:generate stringer -type=Result -linecomment

// Kind is a policy for choosing a host.
type Kind uint8

const (
	// TwoChoices takes the better of two random hosts, one of them in the daemon's own availability zone.
	TwoChoices Kind = iota // twoChoices
	// RoundRobin takes the hosts in turn.
	RoundRobin // roundRobin
	// LeastLatency takes the host with the lowest latency.
	LeastLatency // leastLatency
)

// ParseKind returns the kind with the given name; false if there is none.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, LeastLatency) }

// Result is the result of a placed request, as far as it depends on the host.
type Result uint8

const (
	// Served means that the host's upstream responded.
	Served Result = iota // served
	// UpstreamFailed means that the upstream responded with an error of its own.
	UpstreamFailed // faulty
	// Declined means that the host declined the request for overload.
	Declined // declined
	// NoResponse means that no complete response came: the host was unreachable or the response was lost.
	NoResponse // failed
	// Inconclusive means that the result carries no information on the host.
	Inconclusive // silent
)
