package mesh

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/repeats"
)

// Counts holds the results of callers' requests.
type Counts struct {
	Requests, InTime, Late, NotRun, Failed int
	// Runs counts the executions at instances, and Retries those that are retries or sub-calls of a retry.
	Runs, Retries int
	// CrossZone counts the attempts sent to another availability zone.
	CrossZone int
}

// Result holds what a simulation counted.
type Result struct {
	// Routes has the counts by route, and Seconds the same for each second, by the time at which callers first sent the
	// requests.
	Routes  map[string]*Counts
	Seconds []map[string]*Counts
	// Services has the requests and retries sent to each service in each tenth of a second.
	Services map[string][]Sent
	// Crashes counts the crashes of cold instances, and of those that ran a fatal request, by service.
	Crashes map[string]int
	// FatalUnderWay has, for each crash under a fatal request, how many other fatal requests were at work then.
	FatalUnderWay []int
	// LimitUse is the highest number of requests that an instance with a rate limit received in one window, as a fraction of the bound.
	LimitUse float64
}

// Sent counts the first attempts and the retries sent to a service in an interval.
type Sent struct{ Requests, Retries int }

// binsPerSecond is the resolution of the counts in Result.Services.
const binsPerSecond = 10

// sentAt returns the service's counts for the interval that contains at.
func (r *Result) sentAt(service string, at time.Duration) *Sent {
	n := int(at.Seconds() * binsPerSecond)
	for len(r.Services[service]) <= n {
		r.Services[service] = append(r.Services[service], Sent{})
	}
	return &r.Services[service][n]
}

// RetryExcess returns by how many retries the service exceeded the fleet's retry limits in its worst window; it is above 0
// only if a window exceeded them. The retries of a window are measured against the requests of that window, of the one half
// a window earlier or of the one before, whichever has the most.
func (r *Result) RetryExcess(service string, limits repeats.Limits) float64 {
	sent := r.Services[service]
	window := int(limits.Window.Seconds() * binsPerSecond)
	sum := func(from int) (sum Sent) {
		for n := max(from, 0); n < min(from+window, len(sent)); n++ {
			sum.Requests += sent[n].Requests
			sum.Retries += sent[n].Retries
		}
		return sum
	}
	worst := -limits.Slack
	for from := range sent {
		requests := max(sum(from).Requests, sum(from-window/2).Requests, sum(from-window).Requests)
		worst = max(worst, float64(sum(from).Retries)-limits.Ratio*float64(requests)-limits.Slack)
	}
	return worst
}

func (r *Result) countsOf(route string, second int) []*Counts {
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, map[string]*Counts{})
	}
	return []*Counts{counterOf(r.Routes, route), counterOf(r.Seconds[second], route)}
}

func counterOf(all map[string]*Counts, route string) *Counts {
	counts := all[route]
	if counts == nil {
		counts = &Counts{}
		all[route] = counts
	}
	return counts
}

// Between sums the route's counts, except CrossZone, of requests that were first sent between from and to, in whole seconds.
func (r *Result) Between(route string, from, to time.Duration) Counts {
	var sum Counts
	for second := int(from.Seconds()); second < min(int(to.Seconds()), len(r.Seconds)); second++ {
		counts := r.Seconds[second][route]
		if counts == nil {
			continue
		}
		sum.Requests += counts.Requests
		sum.InTime += counts.InTime
		sum.Late += counts.Late
		sum.NotRun += counts.NotRun
		sum.Failed += counts.Failed
		sum.Runs += counts.Runs
		sum.Retries += counts.Retries
	}
	return sum
}

// Goodput returns the fraction of requests that were answered within the target, 0 to 1; it is 1 without requests.
func (c Counts) Goodput() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Requests)
}
