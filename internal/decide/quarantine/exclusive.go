package quarantine

import "sync"

// Exclusive lets one request with a fingerprint run at a time. The zero value lets all begin.
type Exclusive struct {
	mu      sync.Mutex
	running map[Fingerprint]chan struct{}
}

// Begin reports whether a request with the fingerprint may run now; End must follow then. Otherwise one is running, and the channel is closed at its end.
func (x *Exclusive) Begin(f Fingerprint) (ended <-chan struct{}, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if running := x.running[f]; running != nil {
		return running, false
	}
	if x.running == nil {
		x.running = map[Fingerprint]chan struct{}{}
	}
	x.running[f] = make(chan struct{})
	return nil, true
}

// End ends the run that began last.
func (x *Exclusive) End(f Fingerprint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.running[f])
	delete(x.running, f)
}
