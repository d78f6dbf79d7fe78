package loops

import "sync"

// Workers runs functions on goroutines that stay for the next one.
//
// A handler's stack is several times as deep as a new goroutine's. Growing it
// anew for each request takes some 6% of a request's processor time.
type Workers struct {
	mu     sync.Mutex
	idle   []chan func()
	closed bool
}

// mostIdle bounds the goroutines that wait for work; what a burst has started beyond it ends with its work.
const mostIdle = 64

// Go runs the function on a goroutine of its own, the one that became idle last if there is one.
func (w *Workers) Go(f func()) {
	w.mu.Lock()
	last := len(w.idle) - 1
	if last < 0 {
		w.mu.Unlock()
		go w.work(f)
		return
	}
	next := w.idle[last]
	w.idle = w.idle[:last]
	w.mu.Unlock()
	next <- f
}

// Close ends the goroutines that wait, and those at work once they are done.
func (w *Workers) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
}

func (w *Workers) work(f func()) {
	next := make(chan func(), 1)
	for f != nil {
		f()
		if !w.rest(next) {
			return
		}
		f = <-next
	}
}

// rest offers a goroutine for more work; false means that there are enough.
func (w *Workers) rest(next chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) == mostIdle {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}
