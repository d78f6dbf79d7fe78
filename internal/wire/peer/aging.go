package peer

import (
	"context"
	"time"
)

// Aging is implemented by messages that state how much time is left. The time to connect and to transfer a large message would otherwise be left out
// of it, and the receiver would begin what the sender can't wait for.
type Aging interface {
	// Age subtracts the time that has passed since the message was made.
	Age(elapsed time.Duration)
}

// age subtracts the elapsed time if the message states times.
func age[M any](msg *M, elapsed time.Duration) {
	if aging, ok := any(msg).(Aging); ok {
		aging.Age(elapsed)
	}
}

// openedKey is the context key of the time at which the first piece of a message arrived.
type openedKey struct{}

// withOpened returns the context for the handler of a frame.
func withOpened(ctx context.Context, f frame) context.Context {
	if f.openedAt.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, openedKey{}, f.openedAt)
}

// transferTime returns how long ago the first piece of a handler's message arrived, 0 for a message in one piece.
func transferTime(ctx context.Context) time.Duration {
	if openedAt, ok := ctx.Value(openedKey{}).(time.Time); ok {
		return time.Since(openedAt)
	}
	return 0
}
