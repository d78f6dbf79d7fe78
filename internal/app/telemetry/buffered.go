package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Buffered gathers the lines of a log and writes many at once; Close writes what is left.
//
// At full load each decision would otherwise pay for a system call of its own. Whoever reads the log may be slow, or stop
// reading: a write to it then blocks for as long, and must not hold up requests. Lines come in without a wait; those that find
// the buffer full are dropped, counted, and told of in a line of their own.
type Buffered struct {
	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	err     error

	out io.Writer
	// writing belongs to whoever writes to out.
	writing sync.Mutex
	wake    chan struct{}
	done    chan struct{}
}

const (
	// flushSize is how much gathers before it is written ahead of time.
	flushSize = 64 << 10
	// bufferSize is how much may wait for a reader of the log that is behind, some thousand lines.
	bufferSize = 2 << 20
	// flushEvery bounds how old a line gets before others see it, and what a crash loses.
	flushEvery = 100 * time.Millisecond
)

// NewBuffered returns a writer that passes on to out at least every 100 ms.
func NewBuffered(out io.Writer) *Buffered {
	b := &Buffered{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

func (b *Buffered) run() {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-b.wake:
		case <-tick.C:
		}
		_ = b.Flush()
	}
}

// Write takes over the bytes, and writes them through once closed; the error is that of an earlier write to out.
func (b *Buffered) Write(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(p) > bufferSize {
		b.dropped++
		b.mu.Unlock()
		return len(p), nil
	}
	b.pending = append(b.pending, p...)
	full, closed, err := len(b.pending) >= flushSize, b.closed, b.err
	b.mu.Unlock()
	if closed {
		return len(p), b.Flush()
	}
	if full {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(p), err
}

// Flush writes what has been gathered; the error is the underlying writer's.
func (b *Buffered) Flush() error {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	out, dropped := b.pending, b.dropped
	b.pending, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, `{"dropped":%d,"level":"warning","msg":"lines dropped","time":%q}`+"\n", dropped, time.Now().Format(time.RFC3339Nano))
	}
	if len(out) == 0 {
		return nil
	}
	_, err := b.out.Write(out)
	b.mu.Lock()
	b.err = err
	b.mu.Unlock()
	return err
}

// Close writes what is left, and later lines are written at once; the error is the underlying writer's.
func (b *Buffered) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.done)
	}
	b.mu.Unlock()
	return b.Flush()
}
