package diff

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Kind -linecomment

// Kind is the kind of a change.
type Kind uint8

const (
	// Joins means that the organisation is new on the plans list.
	Joins Kind = iota // joins
	// Leaves means that the organisation is no longer on the plans list.
	Leaves // leaves
	// Plan means that the organisation has another plan.
	Plan // plan
	// Rate means that its rate, in requests per second, changes.
	Rate // rate
	// Burst means that its burst, in requests, changes.
	Burst // burst
	// Weight means that its weight, which sets its share under overload, changes.
	Weight // weight
	// Gains means that the organisation may use a further operation.
	Gains // gains
	// Loses means that the organisation may no longer use an operation.
	Loses // loses
	// KeyGiven means that a new key of the organisation becomes valid.
	KeyGiven // keyGiven
	// KeyWithdrawn means that a key of the organisation becomes invalid.
	KeyWithdrawn // keyWithdrawn
	// Priority means that the priority of an operation changes: it is shed earlier or later.
	Priority // priority
	// Idempotent means that an operation becomes idempotent, so that it may be retried, or is no longer.
	Idempotent // idempotent
	// Route means that the service, method or path of an operation changes.
	Route // route
	// Runs means that the maximum number of upstream runs for a request of an operation changes.
	Runs // runs
)

// MarshalText returns the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Change is one change for one organisation.
type Change struct {
	Organisation string `json:"organisation"`
	Kind         Kind   `json:"kind"`
	// Subject is the operation or the key's id, if the change concerns one.
	Subject string `json:"subject,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	// Note describes the effect on callers, if the values alone don't show it.
	Note string `json:"note,omitempty"`
}

// String returns the change as one line, without the organisation.
func (c Change) String() string {
	parts := []string{c.Kind.String()}
	if c.Subject != "" {
		parts = append(parts, c.Subject)
	}
	if c.Before != "" || c.After != "" {
		parts = append(parts, fmt.Sprintf("%s -> %s", orNone(c.Before), orNone(c.After)))
	}
	if c.Note != "" {
		parts = append(parts, "("+c.Note+")")
	}
	return strings.Join(parts, " ")
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
