package shares

import (
	"sync"
	"time"
)

// Fractions has a daemon's current list of surging organisations.
type Fractions struct {
	mu     sync.RWMutex
	usual  map[string]float64
	madeAt time.Time
}

// listTTL is how long a list is valid, several heartbeat intervals, as for a plan. Without a current list, all organisations are treated alike.
const listTTL = 1500 * time.Millisecond

// NewFractions returns fractions without surging organisations.
func NewFractions() *Fractions { return &Fractions{} }

// Apply replaces the list by one that was made at the given time, and returns the number of entries that can't be used.
func (f *Fractions) Apply(surges []Surge, madeAt time.Time) (unusable int) {
	usual := make(map[string]float64, min(len(surges), MaxSurges))
	for _, s := range surges {
		if len(usual) == MaxSurges || s.Organisation == "" || !(s.UsualFraction > 0 && s.UsualFraction <= 1) {
			unusable++
			continue
		}
		usual[s.Organisation] = s.UsualFraction
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usual, f.madeAt = usual, madeAt
	return unusable
}

// Usual returns the fraction of the organisation's requests that counts as usual; 1 unless it surges.
func (f *Fractions) Usual(organisation string, now time.Time) float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fraction, surging := f.usual[organisation]
	if !surging || now.Sub(f.madeAt) > listTTL {
		return 1
	}
	return fraction
}
