package quarantine

import "sync"

// Locks lets one request with a fingerprint run at a time. The zero value has no locks held.
type Locks struct {
	mu   sync.Mutex
	held map[Fingerprint]chan struct{}
}

// TryLock reports whether the fingerprint's lock was free and is held now. Otherwise the channel is closed when it is unlocked.
func (l *Locks) TryLock(f Fingerprint) (unlocked <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.held[f]; held != nil {
		return held, false
	}
	if l.held == nil {
		l.held = map[Fingerprint]chan struct{}{}
	}
	l.held[f] = make(chan struct{})
	return nil, true
}

// Unlock frees the fingerprint's lock, which must be held.
func (l *Locks) Unlock(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held[f])
	delete(l.held, f)
}
