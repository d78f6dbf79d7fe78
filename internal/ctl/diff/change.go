package diff

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Kind -linecomment

// Kind names what a change is about.
type Kind uint8

const (
	// Joins means that the organisation is new on the list of plans.
	Joins Kind = iota // joins
	// Leaves means that the organisation is no longer on the list of plans.
	Leaves // leaves
	// Plan means that the organisation's plan is another.
	Plan // plan
	// Rate means that its requests per second differ.
	Rate // rate
	// Burst means that its whole requests at once differ.
	Burst // burst
	// Weight means that its share under overload differs.
	Weight // weight
	// Gains means that it may use an operation it could not.
	Gains // gains
	// Loses means that it may no longer use an operation.
	Loses // loses
	// Given means that a key of it begins to work.
	Given // keyGiven
	// Withdrawn means that a key of it stops working.
	Withdrawn // keyWithdrawn
	// Priority means that an operation is shed earlier or later.
	Priority // priority
	// Idempotent means that an operation may be repeated, or no longer.
	Idempotent // idempotent
	// Route means that an operation's service, method or path differs.
	Route // route
	// Runs means that an operation's bound on upstream runs differs.
	Runs // runs
)

// MarshalText returns the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Change is one effect on one organisation.
type Change struct {
	Organisation string `json:"organisation"`
	Kind         Kind   `json:"kind"`
	// Subject is the operation or the key's id, where the change is about one.
	Subject string `json:"subject,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	// Note says what callers will notice, where the values alone don't.
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
