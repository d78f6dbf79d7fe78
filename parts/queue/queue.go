package queue

import (
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Queue holds waiting requests and decides their order; it isn't safe for concurrent use.
//
// Push adds an item, Pop removes and returns the one to serve next, or returns
// nil if the queue is empty. Remove removes one that no longer waits, and Victim
// returns the one to evict from a full queue.
type Queue[T any] = queue.Queue[T]

// Item is one waiting request; Cost is the expected time in a slot, in any unit that all items share, such as seconds.
type Item[T any] = queue.Item[T]

// Priority orders requests when load must be shed; a higher one is shed later.
type Priority = call.Priority

// The priorities, lowest first.
const (
	Background  = call.Background
	Standard    = call.Standard
	Interactive = call.Interactive
)

// New returns an empty fair queue. It serves the highest priority first, except
// that one item in 32 is of a lower priority, and shares each priority between
// organisations by weight.
func New[T any]() Queue[T] { return queue.NewFair[T]() }
