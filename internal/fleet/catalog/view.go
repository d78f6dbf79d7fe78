package catalog

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// View is an immutable snapshot of a catalog, which requests read without locks.
type View struct {
	Table    *routing.Table
	Revision uint64

	services  map[string][]routing.Instance
	instances []routing.Instance
	// positions has the position in instances of each ID.
	positions map[string]int
	hosts     []netip.Addr
	// placements has the hosts with their availability zones, sorted.
	placements   []placement
	drainedZones []string
	// drainedServices are the services with instances in drained zones.
	drainedServices map[string]bool
}

// View returns a snapshot; its table is rebuilt only if the configuration's version differs from the previous view's.
func (c *Catalog) View(previous *View) *View {
	view := &View{Revision: c.revision, services: map[string][]routing.Instance{}, drainedServices: map[string]bool{}}
	switch {
	case c.config == nil:
	case previous != nil && previous.Table != nil && previous.Table.Version() == c.config.Version:
		view.Table = previous.Table
	default:
		view.Table = routing.NewTable(*c.config)
	}
	view.instances, view.drainedZones = c.Instances(), c.DrainedZones()
	view.positions = make(map[string]int, len(view.instances))
	view.placements = make([]placement, 0, len(view.instances))
	for i := range view.instances {
		inst := &view.instances[i]
		if c.config != nil {
			inst.ColdRate = c.config.Services[inst.Service].ColdRate
		}
		if view.ZoneDrained(inst.Zone) {
			view.drainedServices[inst.Service] = true
		} else {
			view.services[inst.Service] = append(view.services[inst.Service], *inst)
		}
		view.positions[inst.ID] = i
		view.placements = append(view.placements, placement{inst.Address.Addr(), inst.Zone})
	}
	slices.SortFunc(view.placements, placement.compare)
	view.placements = slices.Compact(view.placements)
	view.hosts = make([]netip.Addr, 0, len(view.placements))
	for _, p := range view.placements {
		view.hosts = append(view.hosts, p.host)
	}
	view.hosts = slices.Compact(view.hosts)
	return view
}

// placement is a host with its availability zone.
type placement struct {
	host netip.Addr
	zone string
}

func (p placement) compare(other placement) int {
	return cmp.Or(p.host.Compare(other.host), cmp.Compare(p.zone, other.zone))
}

// AtRevision returns the same view as of a later revision that has changed nothing in it.
func (v *View) AtRevision(revision uint64) *View {
	later := *v
	later.Revision = revision
	return &later
}

// Complete reports whether there are a configuration and instances.
func (v *View) Complete() bool { return v.Table != nil && len(v.instances) > 0 }

const (
	// Estimates of the encoded sizes of an instance, an organisation and a route.
	instanceBytes     = 256
	organisationBytes = 128
	routeBytes        = 256
)

// CopyBytes estimates the size of a message with all that the view shows.
func (v *View) CopyBytes() int {
	bytes := len(v.instances) * instanceBytes
	if v.Table != nil {
		config := v.Table.Config()
		bytes += len(config.Organisations)*organisationBytes + len(config.Routes)*routeBytes
	}
	return bytes
}

// InstancesOf returns the instances of a service outside drained zones, including draining instances; the slice must not be changed.
func (v *View) InstancesOf(service string) []routing.Instance { return v.services[service] }

// ByService returns the services with the instances that InstancesOf returns.
func (v *View) ByService() iter.Seq2[string, []routing.Instance] { return maps.All(v.services) }

// ZoneDrained reports whether the instances of the availability zone must receive no requests.
func (v *View) ZoneDrained(zone string) bool { return slices.Contains(v.drainedZones, zone) }

// Drained reports whether all instances of the service are in drained zones.
func (v *View) Drained(service string) bool {
	return v.drainedServices[service] && len(v.services[service]) == 0
}

// CountIn returns the number of instances in the availability zone.
func (v *View) CountIn(zone string) int {
	count := 0
	for _, inst := range v.instances {
		if inst.Zone == zone {
			count++
		}
	}
	return count
}

// DrainedZones returns the availability zones whose instances must receive no requests; the slice must not be changed.
func (v *View) DrainedZones() []string { return v.drainedZones }

// Instances returns all instances, including those in drained zones; the slice must not be changed.
func (v *View) Instances() []routing.Instance { return v.instances }

// Instance returns the instance with the ID, or false.
func (v *View) Instance(id string) (routing.Instance, bool) {
	position, ok := v.positions[id]
	if !ok {
		return routing.Instance{}, false
	}
	return v.instances[position], true
}

// At returns the instance at the address, or false.
func (v *View) At(address netip.AddrPort) (routing.Instance, bool) {
	for i := range v.instances {
		if v.instances[i].Address == address {
			return v.instances[i], true
		}
	}
	return routing.Instance{}, false
}

// SameHosts reports whether the other view has the same hosts in the same availability zones.
func (v *View) SameHosts(other *View) bool {
	return slices.Equal(v.placements, other.placements)
}

// Hosts returns the hosts that instances run on, sorted; the slice must not be changed.
func (v *View) Hosts() []netip.Addr { return v.hosts }
