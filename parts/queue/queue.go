package queue

import (
	"github.com/foxtailhook/foxtailhook/internal/decide/queue"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Queue is an order of service; it is used by one goroutine at a time.
//
// Push adds an item, Pop takes out the one to serve next or returns nil, Remove
// takes out one that gave up, and Victim names who leaves a full queue.
type Queue[T any] = queue.Queue[T]

// Item is one piece of waiting work; Cost is in any unit that all items share, such as seconds.
type Item[T any] = queue.Item[T]

// Priority orders work when load must be shed; a higher one is shed later.
type Priority = call.Priority

// The priorities, lowest first.
const (
	Background  = call.Background
	Standard    = call.Standard
	Interactive = call.Interactive
)

// New returns an empty fair queue: the highest priority first, with one turn in
// 32 for the rest, and within a priority each organisation by its weight.
func New[T any]() Queue[T] { return queue.NewFair[T]() }
