package choice

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/mechanism"
	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

const (
	// SlowThreshold is the slowness above which an instance is left out for others of its service: well above normal, since a redirect costs a
	// round trip and the other instance may be slow by the time the request arrives.
	SlowThreshold = 1.75
	// MaxSlowness is the highest slowness that counts; a higher one is taken for a fault of the instance.
	MaxSlowness = 100.0
	// slownessHalfLife is the half-life of a stated slowness: instances state a new one several times a second.
	slownessHalfLife = 300 * time.Millisecond
	// serviceSlownessTTL is how long after the last statement the instances of a service count as stating their slowness.
	serviceSlownessTTL = 10 * time.Second
	// routeWeight is the weight of one request in the usual time of its route. Instances are compared with it, so it changes more slowly
	// than their speeds.
	routeWeight = 0.02
	// speedWeight is the weight of one request in the speed of its instance.
	speedWeight = 0.1
	// minSpeed and maxSpeed bound what one request says of the speed of its instance. The lower bound also limits what an instance gains
	// by overstating its slowness for a while.
	minSpeed = 0.25
	maxSpeed = 8.0
	// A learned speed returns to 1 with speedHalfLife once the instance has served nothing for speedTTL, so that it is tried again.
	speedTTL      = 2 * time.Second
	speedHalfLife = 10 * time.Second
)

// Slowness returns what a stated slowness is worth after a time: it decays to 1, the normal speed. One below 1 counts as 1, since how fast an
// instance is follows from the requests that it has served.
func Slowness(stated float64, age time.Duration) float64 {
	if !(stated > 1) {
		return 1
	}
	return 1 + (stated-1)*decay(max(age, 0), slownessHalfLife)
}

// pace is how fast an instance is.
type pace struct {
	// stated is the slowness that was last stated, at statedAt; 0 means none.
	stated   float64
	statedAt time.Time
	// relative is the instance's own time for a request at normal speed, relative to the usual time of the route, learned until learnedAt;
	// 0 means unknown.
	relative  float64
	learnedAt time.Time
	samples   int
}

// expected returns the expected time of a request now, relative to the usual time of its route.
func (p *pace) expected(now time.Time) float64 { return p.own(now) * p.slowness(now) }

func (p *pace) slowness(now time.Time) float64 { return Slowness(p.stated, now.Sub(p.statedAt)) }

// own returns the instance's own time for a request at normal speed, relative to the usual time of its route.
func (p *pace) own(now time.Time) float64 {
	if p.samples == 0 {
		return 1
	}
	idle := now.Sub(p.learnedAt) - speedTTL
	if idle <= 0 {
		return p.relative
	}
	return 1 + (p.relative-1)*decay(idle, speedHalfLife)
}

// learn takes over the relative time of one request. The first ones count for more, beside the speed of 1 that is assumed before.
func (p *pace) learn(relative float64, now time.Time) {
	known := p.own(now)
	p.samples++
	p.relative = known + (min(max(relative, minSpeed), maxSpeed)-known)*max(speedWeight, 1/float64(p.samples+1))
	p.learnedAt = now
}

// service is what a balancer knows of one service.
type service struct {
	// picks counts the picks.
	picks uint64
	// listed is the number of the service's instances in the list last set with SetInstances.
	listed int
	// stated means that an instance has stated its slowness, last at statedAt.
	stated   bool
	statedAt time.Time
	// routes has the usual times of requests, by route.
	routes map[string]*usualTime
	// byPosition has the records of the instances in the order of the last list that was picked from.
	byPosition []*record
}

// population estimates the number of usable instances of the service from those among the given ones, which may be a sample of those listed.
func (s *service) population(usable, given int) int {
	return usable * max(s.listed, given) / given
}

// usualTime is the smoothed time of a route's requests at normal speed.
type usualTime struct {
	seconds float64
	samples int
}

func (u *usualTime) learn(seconds float64) {
	u.samples++
	u.seconds += (seconds - u.seconds) * max(routeWeight, 1/float64(u.samples))
}

func (b *Balancer) serviceOf(i *routing.Instance) *service {
	s := b.services[i.Service]
	if s == nil {
		s = &service{routes: map[string]*usualTime{}}
		b.services[i.Service] = s
	}
	return s
}

// statesSlowness reports whether the instances of the service state their slowness, so that it and their speeds count.
func (b *Balancer) statesSlowness(s *service, now time.Time) bool {
	return s.stated && now.Sub(s.statedAt) < serviceSlownessTTL && !b.disabled.Has(mechanism.InstanceSpeed)
}

// usualTime returns the usual time of the route at the service in seconds, or the mean of the service if there is none yet. It returns 0 for a
// service whose instances don't state their slowness.
func (b *Balancer) usualTime(s *service, route string, mean float64, now time.Time) float64 {
	if !b.statesSlowness(s, now) {
		return 0
	}
	if known := s.routes[route]; known != nil {
		return known.seconds
	}
	return mean
}

// recordPace records the slowness that an instance states and, for a service whose instances state it, how fast the request was served. The
// wait for a slot says nothing about the speed.
func (b *Balancer) recordPace(i *routing.Instance, r *record, a Attempt, now time.Time) {
	of := b.serviceOf(i)
	if stated := a.Load.Slowness; stated > 0 && stated <= MaxSlowness {
		r.pace.stated, r.pace.statedAt = stated, now
		of.stated, of.statedAt = true, now
	}
	if a.Result != Served || !b.statesSlowness(of, now) {
		return
	}
	held := max(a.Took-a.Waited, 0)
	if held == 0 {
		return
	}
	seconds := held.Seconds()
	if held <= slownessHalfLife {
		// In a longer request the slowness has changed, and its mean is about the same for all instances.
		seconds /= r.pace.slowness(now)
	}
	usual := of.routes[a.Route]
	if usual == nil {
		usual = &usualTime{}
		of.routes[a.Route] = usual
	}
	usual.learn(seconds)
	r.pace.learn(seconds/usual.seconds, now)
}

// HasOther reports whether there is an instance besides the picked one that the request could go to: one that is warm and reachable, has free
// slots as far as known, and isn't known to be slow. For a service whose instances don't state their slowness it returns false.
func (b *Balancer) HasOther(instances []routing.Instance, excluded map[string]bool, picked string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(instances) == 0 || !b.statesSlowness(b.serviceOf(&instances[0]), now) {
		return false
	}
	for i := range instances {
		inst := &instances[i]
		if inst.ID == picked || inst.Draining || excluded[inst.ID] || now.Before(inst.ColdUntil) {
			continue
		}
		if other := (candidate{inst, b.recordOf(inst)}); other.free(now) {
			return true
		}
	}
	return false
}

// free reports whether the instance can take one more request at normal speed, as far as known.
func (c candidate) free(now time.Time) bool {
	return !now.Before(c.record.backoffUntil) && c.record.pace.slowness(now) <= SlowThreshold && c.busy(now) <= busyThreshold
}
