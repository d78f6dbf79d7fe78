package routing

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
	"strings"
)

// Table is a configuration made ready for look-ups; it is immutable.
type Table struct {
	config        Config
	hosts         map[string][]*Route
	organisations map[[sha256.Size]byte]*Organisation
	byName        map[string]*Organisation
	routes        map[string]*Route
	standings     map[rank]float64
}

// rank is that of an organisation, if it has one of its own, and that of a route.
type rank struct{ organisation, route int }

// NewTable returns the table of a configuration, which must not be changed afterwards.
func NewTable(c Config) *Table {
	t := &Table{
		config:        c,
		hosts:         map[string][]*Route{},
		organisations: map[[sha256.Size]byte]*Organisation{},
		byName:        map[string]*Organisation{},
		routes:        map[string]*Route{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[r.Name] = r
		if !r.addressed() {
			continue
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		t.byName[o.Name] = o
		for _, key := range o.Keys {
			t.organisations[sha256.Sum256([]byte(key))] = o
		}
	}
	t.standings = standings(&c)
	return t
}

// standings orders all ranks that occur together, from 0 for the first to 1 for the last.
func standings(c *Config) map[rank]float64 {
	occurring := map[rank]float64{}
	for i := range c.Routes {
		occurring[rank{c.Routes[i].Rank, c.Routes[i].Rank}] = 0
		for j := range c.Organisations {
			occurring[rankOf(&c.Routes[i], &c.Organisations[j])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(occurring), func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	for at, r := range order {
		occurring[r] = float64(at) / float64(max(len(order)-1, 1))
	}
	return occurring
}

func rankOf(route *Route, organisation *Organisation) rank {
	if organisation != nil && organisation.Ranked {
		return rank{organisation.Rank, route.Rank}
	}
	return rank{route.Rank, route.Rank}
}

// RelativeRank tells where the organisation's requests on the route stand among all that are configured, from 0 for those that go first to
// 1 for the last. Where all organisations have the same rank, only the routes tell them apart.
func (t *Table) RelativeRank(route *Route, organisation *Organisation) float64 {
	return t.standings[rankOf(route, organisation)]
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Config returns the configuration; it must not be changed.
func (t *Table) Config() *Config { return &t.config }

// Match returns the host's route with the longest prefix that begins the path, or false.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Shares returns the services of a route with their parts of its requests; none for a route that doesn't exist.
func (t *Table) Shares(name string) map[string]float64 {
	r, ok := t.routes[name]
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

// hostname drops the port of a Host header and folds its case.
func hostname(host string) string {
	if at := strings.LastIndexByte(host, ':'); at > 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Keyed reports whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.config.Organisations) > 0 }

// Authenticate returns the organisation that holds the key, or false.
//
// Keys are looked up by their hash, so that the time of an answer tells nothing of a key in force.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	hash := sha256.Sum256([]byte(key))
	o, ok := t.organisations[hash]
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

// Organisation returns the organisation with the name, or false.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.byName[name]
	return o, ok
}
