package catalog

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// View is an immutable snapshot of a catalog, which requests read without locks.
type View struct {
	Table    *routing.Table
	Revision uint64

	services  map[string][]routing.Instance
	byID      map[string]routing.Instance
	instances []routing.Instance
	hosts     []netip.Addr
}

// View returns a snapshot; its table is rebuilt only if the configuration's version differs from the previous view's.
func (c *Catalog) View(previous *View) *View {
	view := &View{Revision: c.revision, services: map[string][]routing.Instance{}, byID: map[string]routing.Instance{}}
	switch {
	case c.config == nil:
	case previous != nil && previous.Table != nil && previous.Table.Version() == c.config.Version:
		view.Table = previous.Table
	default:
		view.Table = routing.NewTable(*c.config)
	}
	view.instances = c.Instances()
	for _, inst := range view.instances {
		view.services[inst.Service] = append(view.services[inst.Service], inst)
		view.byID[inst.ID] = inst
		view.hosts = append(view.hosts, inst.Address.Addr())
	}
	for _, all := range view.services {
		slices.SortFunc(all, func(a, b routing.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(view.hosts, netip.Addr.Compare)
	view.hosts = slices.Compact(view.hosts)
	return view
}

// InstancesOf returns the instances of a service, including draining ones; the slice must not be changed.
func (v *View) InstancesOf(service string) []routing.Instance { return v.services[service] }

// Instances returns all instances; the slice must not be changed.
func (v *View) Instances() []routing.Instance { return v.instances }

// Instance returns the instance with the ID, or false.
func (v *View) Instance(id string) (routing.Instance, bool) {
	inst, ok := v.byID[id]
	return inst, ok
}

// At returns the instance at the address, or false.
func (v *View) At(address netip.AddrPort) (routing.Instance, bool) {
	for _, i := range v.byID {
		if i.Address == address {
			return i, true
		}
	}
	return routing.Instance{}, false
}

// Hosts returns the hosts that instances run on, sorted; the slice must not be changed.
func (v *View) Hosts() []netip.Addr { return v.hosts }
