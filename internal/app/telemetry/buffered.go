package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Buffered is a log writer that collects lines and writes many at once; Close writes the rest.
//
// Without it, each decision under full load would cost a system call. The log's reader may also be slow or stop reading, and a
// write that blocks on it must not delay requests. So until Close, Write never waits for out: lines that find the buffer full are
// dropped, and the next flush logs their number.
type Buffered struct {
	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	err     error

	out io.Writer
	// writeMu is held while out is written to.
	writeMu  sync.Mutex
	flushNow chan struct{}
	done     chan struct{}
}

const (
	// flushThreshold is the number of pending bytes that triggers a flush before flushInterval has passed.
	flushThreshold = 64 << 10
	// maxPending bounds the bytes that wait for a slow reader of the log: several thousand lines.
	maxPending = 2 << 20
	// flushInterval bounds the delay before a line is written, and so also what a crash loses.
	flushInterval = 100 * time.Millisecond
)

// NewBuffered returns a writer that writes pending lines to out every 100 ms, or earlier if many are pending.
func NewBuffered(out io.Writer) *Buffered {
	b := &Buffered{out: out, flushNow: make(chan struct{}, 1), done: make(chan struct{})}
	go b.run()
	return b
}

func (b *Buffered) run() {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-b.flushNow:
		case <-tick.C:
		}
		_ = b.Flush()
	}
}

// Write appends p to the pending bytes, and flushes at once after Close. Before that, the error is that of the latest write to out.
func (b *Buffered) Write(p []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(p) > maxPending {
		b.dropped++
		b.mu.Unlock()
		return len(p), nil
	}
	b.pending = append(b.pending, p...)
	full, closed, err := len(b.pending) >= flushThreshold, b.closed, b.err
	b.mu.Unlock()
	if closed {
		return len(p), b.Flush()
	}
	if full {
		select {
		case b.flushNow <- struct{}{}:
		default:
		}
	}
	return len(p), err
}

// Flush writes the pending bytes; the error is the underlying writer's.
func (b *Buffered) Flush() error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
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

// Close flushes and stops the periodic flushes; later lines are written at once. The error is the underlying writer's.
func (b *Buffered) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.done)
	}
	b.mu.Unlock()
	return b.Flush()
}
