package choice

import (
	"math/rand/v2"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// drawnInstances is how many instances of a large service are drawn for one request, half of them in the daemon's own availability zone. They
// are several times sampleSize, so that instances in backoff and faulty ones among them leave enough.
const drawnInstances = 32

// Sampler draws, for each request to a large service, the instances among which one is picked. The time of a pick then doesn't depend on the
// number of instances, and all of them still receive requests: with a fixed subset for each daemon, instances of a service that few daemons
// call would be in no subset.
type Sampler struct {
	instances []routing.Instance
	// local and remote are the positions of the instances in the daemon's availability zone and in others.
	local, remote []int32
}

// NewSampler returns the sampler of a daemon in the availability zone for the instances of one service, or nil if they are few enough for
// each request to consider all of them.
func NewSampler(instances []routing.Instance, zone string) *Sampler {
	if len(instances) <= 2*drawnInstances {
		return nil
	}
	s := &Sampler{instances: instances}
	for i := range instances {
		if instances[i].Zone == zone {
			s.local = append(s.local, int32(i))
		} else {
			s.remote = append(s.remote, int32(i))
		}
	}
	return s
}

// Draw returns different random instances, in a new list.
func (s *Sampler) Draw() []routing.Instance {
	local := min(drawnInstances/2, len(s.local))
	remote := min(drawnInstances-local, len(s.remote))
	local = min(drawnInstances-remote, len(s.local))
	drawn := make([]routing.Instance, 0, drawnInstances)
	drawn = s.appendRandom(drawn, s.local, local)
	return s.appendRandom(drawn, s.remote, remote)
}

// appendRandom appends the instances at so many of the positions, a random one out of each part of about the same length.
func (s *Sampler) appendRandom(drawn []routing.Instance, positions []int32, count int) []routing.Instance {
	for n := range count {
		from, to := n*len(positions)/count, (n+1)*len(positions)/count
		drawn = append(drawn, s.instances[positions[from+rand.IntN(to-from)]])
	}
	return drawn
}
