package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

//go:generate stringer -type=Repeat -linecomment

// Repeat says whether the requests of a route may be retried after they may have run.
type Repeat uint8

const (
	// Idempotent is for requests that may run more than once.
	Idempotent Repeat = iota // idempotent
	// Once is for requests that may run at most once.
	Once // once
	// Upload is for requests with large bodies that may run at most once.
	Upload // upload
)

// Config is one version of the operator's routing configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	// Limits bound what callers may send.
	Limits Limits
	// Notes describe parts of the published configuration that were not understood but don't prevent serving it.
	Notes []string
}

// Route says to which services the requests below one path of a host go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Parts are the services among which the route's requests are split by weight; most routes have one.
	Parts []Part
	// Attempts is the maximum number of instances that one request may be sent to, at least 1.
	Attempts int
	// Timeout is the longest time that a caller may wait for a response; 0 means no limit.
	Timeout time.Duration
	// Target is the target latency: a faster response has no more value. 0 means that it is unknown.
	Target time.Duration
	// Rank orders requests under overload; 0 has the highest precedence.
	Rank int
	// Public routes accept requests without a key.
	Public bool
	// Regions are the regions in which the route's requests may run; empty means all.
	Regions []string
	// Fault is the reason why the route can't be served; its callers are asked to retry later. It is empty for a valid route.
	Fault string
}

// Part is one service of a route, with its weight in the split of the route's requests.
type Part struct {
	Service string
	Weight  int
}

// Service holds the settings that all instances of a service share.
type Service struct {
	// Health is the path of an instance's health check.
	Health string
	// MaxConnections limits the connections that one instance accepts from all callers.
	MaxConnections int
	// ColdStart is how long an instance is cold after its start, and ColdRate the requests per second that it tolerates meanwhile; a ColdRate of
	// 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Organisation is a customer with its keys and its rate limit over the whole fleet.
type Organisation struct {
	Name string
	Keys []string
	// Ranked says whether Rank takes precedence over the rank of the route.
	Ranked bool
	Rank   int
	// Rate is in requests per second, 0 for no limit; Burst is in requests.
	Rate  float64
	Burst float64
	// Regions are the regions in which the organisation's requests may run; empty means all.
	Regions []string
}

// Limits limit the size of requests, the time that a head may take to arrive, and the idle time of connections; 0 means no limit.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTime    time.Duration
	IdleTimeout time.Duration
}

// Check returns why the configuration can't be put in force, or nil.
//
// A configuration is rejected as a whole only if requests could be attributed to the wrong organisation, if it can't be
// ordered by version, or if none of its routes can be served. A fault of one route affects only its callers: see MarkFaults.
func (c *Config) Check() error {
	if c.Version == 0 {
		return errors.New("routing: version 0, expected at least 1")
	}
	organisationByKey := map[string]string{}
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if other, assigned := organisationByKey[key]; assigned && other != o.Name {
				return errors.Errorf("routing: organisations %q and %q share a key", other, o.Name)
			}
			organisationByKey[key] = o.Name
		}
	}
	if len(c.Routes) > 0 && !slices.ContainsFunc(c.Routes, func(r Route) bool { return r.fault(c.Services) == "" }) {
		return errors.Errorf("routing: none of %d routes can be served, the first: %s", len(c.Routes), c.Routes[0].fault(c.Services))
	}
	return nil
}

// MarkFaults sets Fault of each route that can't be served, and returns these faults.
func (c *Config) MarkFaults() []string {
	var faults []string
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Fault = r.fault(c.Services)
		if r.Fault != "" {
			faults = append(faults, fmt.Sprintf("route %q: %s", r.Name, r.Fault))
		}
	}
	return faults
}

// matchable reports whether the route has a host and a prefix that requests can match.
func (r *Route) matchable() bool {
	return r.Host != "" && len(r.Prefix) > 0 && r.Prefix[0] == '/' && r.Prefix[len(r.Prefix)-1] == '/'
}

// fault returns why the route can't be served, or an empty text.
func (r *Route) fault(services map[string]Service) string {
	switch {
	case r.Fault != "":
		return r.Fault
	case r.Host == "":
		return "no host"
	case !r.matchable():
		return fmt.Sprintf("prefix %q doesn't begin and end with a slash", r.Prefix)
	case len(r.Parts) == 0:
		return "goes to no service"
	}
	for _, p := range r.Parts {
		if _, ok := services[p.Service]; !ok {
			return fmt.Sprintf("goes to service %q, which is not listed", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Sprintf("weight %d is negative", p.Weight)
		}
	}
	return ""
}
