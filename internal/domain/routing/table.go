package routing

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
	"strings"
	"time"
)

// Table is an immutable index of a configuration for look-ups.
type Table struct {
	config Config
	// routesByHost holds the matchable routes by lower-case host name, longest prefix first, and organisationsByKey the
	// organisations by the hash of each of their keys.
	routesByHost        map[string][]*Route
	organisationsByKey  map[[sha256.Size]byte]*Organisation
	organisationsByName map[string]*Organisation
	routesByName        map[string]*Route
	relativeRanks       map[rankPair]float64
}

// rankPair holds the rank of an organisation and that of a route; an organisation without a rank has that of the route.
type rankPair struct{ organisation, route int }

// NewTable returns the table of a configuration; the caller must not change the configuration afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		config:              c,
		routesByHost:        map[string][]*Route{},
		organisationsByKey:  map[[sha256.Size]byte]*Organisation{},
		organisationsByName: map[string]*Organisation{},
		routesByName:        map[string]*Route{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByName[r.Name] = r
		if !r.matchable() {
			continue
		}
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		t.organisationsByName[o.Name] = o
		for _, key := range o.Keys {
			t.organisationsByKey[sha256.Sum256([]byte(key))] = o
		}
	}
	t.relativeRanks = relativeRanks(&c)
	return t
}

// relativeRanks returns the position of every possible pair of ranks in their order, from 0 for the first to 1 for the last.
func relativeRanks(c *Config) map[rankPair]float64 {
	ranks := map[rankPair]float64{}
	for i := range c.Routes {
		ranks[rankPair{c.Routes[i].Rank, c.Routes[i].Rank}] = 0
		for j := range c.Organisations {
			ranks[rankOf(&c.Routes[i], &c.Organisations[j])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(ranks), func(a, b rankPair) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	for position, r := range order {
		ranks[r] = float64(position) / float64(max(len(order)-1, 1))
	}
	return ranks
}

// rankOf returns the ranks of the organisation's requests on the route; organisation may be nil.
func rankOf(route *Route, organisation *Organisation) rankPair {
	if organisation != nil && organisation.Ranked {
		return rankPair{organisation.Rank, route.Rank}
	}
	return rankPair{route.Rank, route.Rank}
}

// RelativeRank returns the position of the organisation's requests on the route among all configured ranks, from 0 for the highest
// precedence to 1 for the lowest. If all organisations have the same rank, it depends only on the route.
func (t *Table) RelativeRank(route *Route, organisation *Organisation) float64 {
	return t.relativeRanks[rankOf(route, organisation)]
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Config returns the configuration; it must not be changed.
func (t *Table) Config() *Config { return &t.config }

// Match returns the host's route with the longest prefix of the path, or false.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Allows reports whether the organisation's requests on the route may run in the region; organisation may be empty. A route or an organisation that
// isn't in the configuration allows all regions.
func (t *Table) Allows(route, organisation, region string) bool {
	if r := t.routesByName[route]; r != nil && len(r.Regions) > 0 && !slices.Contains(r.Regions, region) {
		return false
	}
	o := t.organisationsByName[organisation]
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Target returns the target latency of the route with the name, 0 if it is unknown.
func (t *Table) Target(route string) time.Duration {
	if r := t.routesByName[route]; r != nil {
		return r.Target
	}
	return 0
}

// Restricts reports whether the organisation's requests on the route may run in some regions only; organisation may be empty.
func (t *Table) Restricts(route, organisation string) bool {
	if r := t.routesByName[route]; r != nil && len(r.Regions) > 0 {
		return true
	}
	o := t.organisationsByName[organisation]
	return o != nil && len(o.Regions) > 0
}

// Shares returns the services of a route with their shares of its requests; nil if the route doesn't exist.
func (t *Table) Shares(name string) map[string]float64 {
	r, ok := t.routesByName[name]
	if !ok {
		return nil
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	shares := make(map[string]float64, len(r.Parts))
	for _, p := range r.Parts {
		if p.Weight > 0 {
			shares[p.Service] = float64(p.Weight) / float64(total)
		}
	}
	return shares
}

// hostname returns a Host header without its port, in lower case.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Keyed reports whether requests need a key: they do once any organisation is configured.
func (t *Table) Keyed() bool { return len(t.config.Organisations) > 0 }

// Authenticate returns the organisation that the key belongs to, or false.
//
// Keys are looked up by their hash, so that response times reveal nothing about valid keys.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	hash := sha256.Sum256([]byte(key))
	o, ok := t.organisationsByKey[hash]
	if !ok {
		return nil, false
	}
	for _, k := range o.Keys {
		if subtle.ConstantTimeCompare([]byte(k), []byte(key)) == 1 {
			return o, true
		}
	}
	return nil, false
}

// Organisation returns the organisation with the given name, or false.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.organisationsByName[name]
	return o, ok
}
