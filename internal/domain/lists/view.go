package lists

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// View is an immutable snapshot of the four lists in force; requests read it without locks.
//
// Successive views share the data of each list that has not changed.
type View struct {
	versions [Kinds]uint64
	plansView
	usesView
	keysView
	hostsView
}

type plansView struct {
	organisations map[string]Organisation
}

// usesView holds the operations of each service, longest path first, and the operations that each plan grants, by name.
type usesView struct {
	operations map[string][]Operation
	grants     map[string]map[string]bool
}

// keysView holds the keys, sorted by hash.
type keysView struct {
	keys []keyEntry
}

type keyEntry struct {
	hash         [sha256.Size]byte
	organisation string
}

// hostsView holds the hosts in the order of the list; byName holds their indexes in it.
type hostsView struct {
	hosts     []Host
	byName    map[string]int32
	byService map[string][]Host
}

// NewView returns the view of the given values at the given versions; a nil value counts as empty.
func NewView(versions [Kinds]uint64, plans *Plans, uses *Uses, keys *Keys, hosts *Hosts) *View {
	v := &View{versions: versions}
	if plans != nil {
		v.plansView = newPlansView(plans.Organisations)
	}
	if uses != nil {
		v.usesView = newUsesView(uses)
	}
	if keys != nil {
		v.keysView = newKeysView(keys.Keys)
	}
	if hosts != nil {
		v.hostsView = newHostsView(hosts.Hosts)
	}
	return v
}

func newPlansView(organisations []Organisation) plansView {
	v := plansView{organisations: make(map[string]Organisation, len(organisations))}
	for _, o := range organisations {
		o.Weight = max(o.Weight, 1)
		v.organisations[o.Organisation] = o
	}
	return v
}

func newUsesView(u *Uses) usesView {
	v := usesView{operations: map[string][]Operation{}, grants: map[string]map[string]bool{}}
	for _, o := range u.Operations {
		v.operations[o.Service] = append(v.operations[o.Service], o)
	}
	for _, ops := range v.operations {
		slices.SortStableFunc(ops, func(a, b Operation) int { return len(b.Path) - len(a.Path) })
	}
	for _, g := range u.Plans {
		allowed := map[string]bool{}
		for _, name := range g.Operations {
			allowed[name] = true
		}
		v.grants[g.Plan] = allowed
	}
	return v
}

func newKeysView(keys []Key) keysView {
	v := keysView{keys: make([]keyEntry, len(keys))}
	var digits [2 * sha256.Size]byte
	for i, k := range keys {
		v.keys[i].organisation = k.Organisation
		_, _ = hex.Decode(v.keys[i].hash[:], digits[:copy(digits[:], k.SHA256)])
	}
	slices.SortFunc(v.keys, func(a, b keyEntry) int { return bytes.Compare(a.hash[:], b.hash[:]) })
	return v
}

func newHostsView(hosts []Host) hostsView {
	v := hostsView{hosts: hosts, byName: make(map[string]int32, len(hosts)), byService: map[string][]Host{}}
	for i, h := range hosts {
		v.byName[h.Host] = int32(i)
		v.byService[h.Service] = append(v.byService[h.Service], h)
	}
	return v
}

// Version returns the list's version in force; 0 means none.
func (v *View) Version(k Kind) uint64 { return v.versions[k] }

// Versions returns the versions in force of all lists, 0 for none.
func (v *View) Versions() [Kinds]uint64 { return v.versions }

// Complete reports whether every list has a value in force.
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
// Candidates are found by the first bytes of the hash and compared in constant
// time, so that response times reveal nothing about valid keys.
func (v *View) Authenticate(key string) (string, bool) {
	hash := HashKey(key)
	prefix := binary.BigEndian.Uint64(hash[:])
	index, _ := slices.BinarySearchFunc(v.keys, prefix, func(e keyEntry, prefix uint64) int {
		return cmp.Compare(binary.BigEndian.Uint64(e.hash[:]), prefix)
	})
	organisation := ""
	for ; index < len(v.keys) && binary.BigEndian.Uint64(v.keys[index].hash[:]) == prefix; index++ {
		if subtle.ConstantTimeCompare(v.keys[index].hash[:], hash[:]) == 1 {
			organisation = v.keys[index].organisation
		}
	}
	return organisation, organisation != ""
}

// Operation returns the matching operation with the longest path, or false.
func (v *View) Operation(service, method, path string) (Operation, bool) {
	for _, o := range v.operations[service] {
		if o.Method == method && matches(path, o.Path) {
			return o, true
		}
	}
	return Operation{}, false
}

// matches reports whether prefix consists of whole leading segments of path.
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
	index, ok := v.byName[name]
	if !ok {
		return Host{}, false
	}
	return v.hosts[index], true
}
