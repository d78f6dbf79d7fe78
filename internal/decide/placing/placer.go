package placing

import (
	"math/rand/v2"
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Placer picks the less busy of two random candidates, in the own zone first.
type Placer struct {
	zone string

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a placer for a daemon in the zone.
func New(zone string) *Placer {
	return &Placer{zone: zone, inFlight: map[string]int{}}
}

// Pick returns a host that is not leaving and not among the tried ones, or false; Done must follow.
func (p *Placer) Pick(hosts []lists.Host, tried map[string]bool) (lists.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(hosts, tried)
	if len(candidates) == 0 {
		return lists.Host{}, false
	}
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if p.inFlight[b.Host] < p.inFlight[a.Host] {
		a = b
	}
	p.inFlight[a.Host]++
	return a, true
}

func (p *Placer) candidates(hosts []lists.Host, tried map[string]bool) []lists.Host {
	var all []lists.Host
	for _, h := range hosts {
		if !h.Leaving && !tried[h.Host] {
			all = append(all, h)
		}
	}
	return all
}

// Done ends one placement on the host.
func (p *Placer) Done(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[host] > 1 {
		p.inFlight[host]--
	} else {
		delete(p.inFlight, host)
	}
}
