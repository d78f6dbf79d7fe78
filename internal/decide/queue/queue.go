package queue

import (
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
)

//go:generate stringer -type=Kind -linecomment

// Kind is an order of service.
type Kind uint8

const (
	// Fair serves by priority and, within a priority, in weighted fair shares of the organisations.
	Fair Kind = iota // fair
	// FIFO serves the oldest first.
	FIFO // fifo
	// LIFO serves the newest first.
	LIFO // lifo
)

// ParseKind returns the kind with the given name; false if there is none.
func ParseKind(name string) (Kind, bool) { return enum.Parse(name, LIFO) }

// Item is one waiting request; it holds its own list links, so that queueing allocates nothing.
type Item[T any] struct {
	Value        T
	Organisation string
	Weight       int
	Priority     call.Priority
	// Cost is the expected time in a slot relative to the mean of all requests; 0 counts as 1.
	Cost float64

	prev, next *Item[T]
	flow       *flow[T]
	queued     bool
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.queued }

// Queue is an order of service; it isn't safe for concurrent use.
type Queue[T any] interface {
	// Push adds an item that is in no queue.
	Push(i *Item[T])
	// Pop removes and returns the item to serve next, or returns nil.
	Pop() *Item[T]
	// Remove removes a waiting item; it does nothing if the item isn't queued.
	Remove(i *Item[T])
	// Len returns the number of items.
	Len() int
	// Ahead estimates how many items would be served before the item if it were pushed now.
	Ahead(i *Item[T]) int
	// Victim returns the item to evict from a full queue in favour of the arrival, or nil if the arrival should be refused.
	Victim(arrival *Item[T]) *Item[T]
	// Last returns the item that is likely to be served last, or nil.
	Last() *Item[T]
}

// New returns an empty queue of the kind.
func New[T any](k Kind) Queue[T] {
	switch k {
	case FIFO:
		return &arrivalQueue[T]{}
	case LIFO:
		return &arrivalQueue[T]{newestFirst: true}
	default:
		return NewFair[T]()
	}
}
