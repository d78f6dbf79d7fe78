package telemetry

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// Buffered gathers the lines of a log and writes many at once; Close writes what is left.
//
// At full load each decision would otherwise pay for a system call of its own,
// and one slow reader of the log would hold up every request. What a crash can
// lose is what came in since the last flush.
type Buffered struct {
	mu     sync.Mutex
	out    *bufio.Writer
	done   chan struct{}
	closed bool
}

const (
	bufferSize = 64 << 10
	// flushEvery bounds how old a line gets before others see it, and what a crash loses.
	flushEvery = 100 * time.Millisecond
)

// NewBuffered returns a writer that passes on to out at least every 100 ms.
func NewBuffered(out io.Writer) *Buffered {
	b := &Buffered{out: bufio.NewWriterSize(out, bufferSize), done: make(chan struct{})}
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
		case <-tick.C:
			_ = b.Flush()
		}
	}
}

// Write takes over the bytes, and writes them through once closed; the error is the underlying writer's.
func (b *Buffered) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.out.Write(p)
	if err == nil && b.closed {
		err = b.out.Flush()
	}
	return n, err
}

// Flush writes what has been gathered; the error is the underlying writer's.
func (b *Buffered) Flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Flush()
}

// Close writes what is left, and later lines are written at once; the error is the underlying writer's.
func (b *Buffered) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		close(b.done)
	}
	return b.out.Flush()
}
