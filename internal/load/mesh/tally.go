package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
)

// Tally counts what came of callers' requests.
type Tally struct {
	Asked, InTime, Late, Refused, Failed int
	// Runs counts arrivals at instances, and Repeats those beyond a request's first, with the calls of repeated runs.
	Runs, Repeats int
	// CrossZone counts the sends to another availability zone.
	CrossZone int
}

// Result is what came of a scene.
type Result struct {
	// Routes has the tallies by route, and Seconds those of all routes by the second in which a request was first sent.
	Routes  map[string]*Tally
	Seconds []map[string]*Tally
	// Services has what was sent to each service, by the tenth of a second.
	Services map[string][]Sent
}

// Sent is what was sent to a service over some time, for the first time and once more.
type Sent struct{ Requests, Retries int }

// perSecond is how many parts of a second what was sent to services is counted in.
const perSecond = 10

// sent returns the counts of the service at the moment.
func (r *Result) sent(service string, at time.Duration) *Sent {
	n := int(at.Seconds() * perSecond)
	for len(r.Services[service]) <= n {
		r.Services[service] = append(r.Services[service], Sent{})
	}
	return &r.Services[service][n]
}

// OverBound returns how many repeats the service got beyond the bound in its worst window, below 0 where it was kept in all of them. The
// requests count that were sent in the window, in the one before it, or in the one half a window before, whichever has most.
func (r *Result) OverBound(service string, b repeats.Limits) float64 {
	sent := r.Services[service]
	window := int(b.Window.Seconds() * perSecond)
	sum := func(from int) (sum Sent) {
		for n := max(from, 0); n < min(from+window, len(sent)); n++ {
			sum.Requests += sent[n].Requests
			sum.Retries += sent[n].Retries
		}
		return sum
	}
	worst := -b.Slack
	for from := range sent {
		requests := max(sum(from).Requests, sum(from-window/2).Requests, sum(from-window).Requests)
		worst = max(worst, float64(sum(from).Retries)-b.Ratio*float64(requests)-b.Slack)
	}
	return worst
}

func (r *Result) at(route string, second int) []*Tally {
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, map[string]*Tally{})
	}
	return []*Tally{tallyOf(r.Routes, route), tallyOf(r.Seconds[second], route)}
}

func tallyOf(all map[string]*Tally, route string) *Tally {
	t := all[route]
	if t == nil {
		t = &Tally{}
		all[route] = t
	}
	return t
}

// Between adds up the route's tallies of requests that were first sent in the seconds.
func (r *Result) Between(route string, from, to time.Duration) Tally {
	var sum Tally
	for second := int(from.Seconds()); second < min(int(to.Seconds()), len(r.Seconds)); second++ {
		t := r.Seconds[second][route]
		if t == nil {
			continue
		}
		sum.Asked += t.Asked
		sum.InTime += t.InTime
		sum.Late += t.Late
		sum.Refused += t.Refused
		sum.Failed += t.Failed
		sum.Runs += t.Runs
		sum.Repeats += t.Repeats
	}
	return sum
}

// Goodput is the part that was answered in time.
func (t Tally) Goodput() float64 {
	if t.Asked == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Asked)
}
