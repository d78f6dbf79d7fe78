package lists

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// View is an immutable join of the four lists in force; traffic reads it without locks.
type View struct {
	versions      [Kinds]uint64
	organisations map[string]Organisation
	operations    map[string][]Operation
	grants        map[string]map[string]bool
	keys          map[uint64][]keyEntry
	hosts         []Host
	byName        map[string]Host
	byService     map[string][]Host
}

type keyEntry struct {
	hash         [sha256.Size]byte
	organisation string
}

// NewView returns the view of the given values at the given versions; a nil value counts as empty.
func NewView(versions [Kinds]uint64, plans *Plans, uses *Uses, keys *Keys, hosts *Hosts) *View {
	v := &View{
		versions:      versions,
		organisations: map[string]Organisation{},
		operations:    map[string][]Operation{},
		grants:        map[string]map[string]bool{},
		keys:          map[uint64][]keyEntry{},
		byName:        map[string]Host{},
		byService:     map[string][]Host{},
	}
	if plans != nil {
		v.addPlans(plans)
	}
	if uses != nil {
		v.addUses(uses)
	}
	if keys != nil {
		v.addKeys(keys)
	}
	if hosts != nil {
		v.addHosts(hosts)
	}
	return v
}

func (v *View) addPlans(p *Plans) {
	for _, o := range p.Organisations {
		o.Weight = max(o.Weight, 1)
		v.organisations[o.Organisation] = o
	}
}

func (v *View) addUses(u *Uses) {
	for _, o := range u.Operations {
		v.operations[o.Service] = append(v.operations[o.Service], o)
	}
	for _, ops := range v.operations {
		slices.SortStableFunc(ops, func(a, b Operation) int { return len(b.Path) - len(a.Path) })
	}
	for _, g := range u.Plans {
		set := map[string]bool{}
		for _, name := range g.Operations {
			set[name] = true
		}
		v.grants[g.Plan] = set
	}
}

func (v *View) addKeys(k *Keys) {
	for _, e := range k.Keys {
		raw, _ := hex.DecodeString(e.SHA256)
		entry := keyEntry{organisation: e.Organisation}
		copy(entry.hash[:], raw)
		slot := binary.BigEndian.Uint64(entry.hash[:])
		v.keys[slot] = append(v.keys[slot], entry)
	}
}

func (v *View) addHosts(h *Hosts) {
	v.hosts = h.Hosts
	for _, e := range h.Hosts {
		v.byName[e.Host] = e
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
}

// Version returns the version in force of one list; 0 means none.
func (v *View) Version(k Kind) uint64 { return v.versions[k] }

// Versions returns the versions in force of all lists.
func (v *View) Versions() [Kinds]uint64 { return v.versions }

// Complete reports whether a value of every list is in force.
func (v *View) Complete() bool { return !slices.Contains(v.versions[:], 0) }

// Organisation returns the organisation's entry, or false.
func (v *View) Organisation(name string) (Organisation, bool) {
	o, ok := v.organisations[name]
	return o, ok
}

// Organisations returns every organisation in no particular order.
func (v *View) Organisations() []Organisation {
	all := make([]Organisation, 0, len(v.organisations))
	for _, o := range v.organisations {
		all = append(all, o)
	}
	return all
}

// Authenticate returns the organisation that the key belongs to, or false.
//
// Candidates are found by the hash's first bytes and compared in constant
// time, so that answer times tell nothing of a key in force.
func (v *View) Authenticate(key string) (string, bool) {
	hash := HashKey(key)
	organisation := ""
	for _, e := range v.keys[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			organisation = e.organisation
		}
	}
	return organisation, organisation != ""
}

// Operation returns the operation with the longest path that matches, or false.
func (v *View) Operation(service, method, path string) (Operation, bool) {
	for _, o := range v.operations[service] {
		if o.Method == method && matches(path, o.Path) {
			return o, true
		}
	}
	return Operation{}, false
}

// matches reports whether prefix covers whole segments of path.
func matches(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// Allows reports whether the organisation's plan may use the operation.
func (v *View) Allows(organisation, operation string) bool {
	return v.grants[v.organisations[organisation].Plan][operation]
}

// Hosts returns all hosts, live and leaving; the slice must not be changed.
func (v *View) Hosts() []Host { return v.hosts }

// HostsOf returns the hosts of one service, live and leaving; the slice must not be changed.
func (v *View) HostsOf(service string) []Host { return v.byService[service] }

// Host returns the host with the given name, or false.
func (v *View) Host(name string) (Host, bool) {
	h, ok := v.byName[name]
	return h, ok
}
