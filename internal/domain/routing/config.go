package routing

import (
	"time"

	"github.com/pkg/errors"
)

//go:generate stringer -type=Repeat -linecomment

// Repeat tells how often one request may be run.
type Repeat uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Repeat = iota // idempotent
	// Once is for requests that may run at most once.
	Once // once
	// Upload is for large bodies that may run at most once.
	Upload // upload
)

// Config is one version of the operator's configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	// Limits bound what callers may send.
	Limits Limits
}

// Route says where the requests below one path of a host go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Parts are the services that share the route's requests; most routes have one.
	Parts []Part
	// Attempts is the most instances that one request may be sent to, at least 1.
	Attempts int
	// Timeout is the longest that a caller may be kept waiting; 0 is without bound.
	Timeout time.Duration
	// Target is the time within which an answer is as good as it can be; 0 is unknown.
	Target time.Duration
	// Rank orders requests when not all can be served; 0 goes first.
	Rank int
	// Public routes take requests without a key.
	Public bool
}

// Part is one service's share of a route's requests.
type Part struct {
	Service string
	Weight  int
}

// Service is what all instances of a service have in common.
type Service struct {
	// Health is the path that tells whether an instance is well.
	Health string
	// MaxConnections bounds the connections that one instance takes from all callers.
	MaxConnections int
}

// Organisation is a customer with its keys and its rate over the whole fleet.
type Organisation struct {
	Name string
	Keys []string
	// Ranked tells whether Rank goes before the rank of the route.
	Ranked bool
	Rank   int
	// Rate is in requests a second, 0 for no limit; Burst is in requests.
	Rate  float64
	Burst float64
}

// Limits bound what callers may send, and how long they may take or stay idle; 0 is without bound.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTime    time.Duration
	IdleTimeout time.Duration
}

// Check returns why the configuration can't be put in force, or nil.
//
// The publisher refuses most faults itself. One that gets through would take
// every route of the fleet along, so a daemon keeps what it has instead.
func (c *Config) Check() error {
	if c.Version == 0 {
		return errors.New("routing: version 0")
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(c.Services); err != nil {
			return err
		}
	}
	owners := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if other, taken := owners[key]; taken && other != o.Name {
				return errors.Errorf("routing: organisations %q and %q share a key", other, o.Name)
			}
			owners[key] = o.Name
		}
	}
	return nil
}

func (r *Route) check(services map[string]Service) error {
	if r.Host == "" {
		return errors.Errorf("routing: route %q names no host", r.Name)
	}
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return errors.Errorf("routing: prefix %q of route %q doesn't begin and end with a slash", r.Prefix, r.Name)
	}
	if len(r.Parts) == 0 {
		return errors.Errorf("routing: route %q goes to no service", r.Name)
	}
	for _, p := range r.Parts {
		if _, ok := services[p.Service]; !ok {
			return errors.Errorf("routing: route %q goes to service %q, which is not listed", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return errors.Errorf("routing: route %q has weight %d", r.Name, p.Weight)
		}
	}
	return nil
}
