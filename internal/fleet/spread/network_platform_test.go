package spread

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// read reads the host list or all lists from the platform.
func (d *node) read(what Read) {
	n := d.net
	kinds := []lists.Kind{lists.KindHosts}
	if what == ReadAll {
		kinds = []lists.Kind{lists.KindPlans, lists.KindUses, lists.KindKeys, lists.KindHosts}
	}
	n.reads += len(kinds)
	n.countCalls(len(kinds))
	d.readKinds(kinds, what == ReadAll)
}

// watch passes what a reader's watches deliver, at each tick; it counts as one call for each list every watchLength.
func (d *node) watch() {
	n := d.net
	if n.now.Sub(d.watched) >= watchLength {
		d.watched = n.now
		n.countCalls(lists.Kinds)
	}
	d.readKinds([]lists.Kind{lists.KindPlans, lists.KindUses, lists.KindKeys, lists.KindHosts}, false)
}

// readKinds delivers the lists of the given kinds that the platform serves, unless it is down for the node's availability zone.
func (d *node) readKinds(kinds []lists.Kind, all bool) {
	n := d.net
	if n.down[d.host.Zone] {
		return
	}
	for _, k := range kinds {
		d.receive(n.served[k])
	}
	d.core.PlatformAnswered(n.now, n.now, all && n.served[lists.KindHosts].Version > 0)
}

// countCalls counts calls to the platform, and the maximum in any second, in slots of slotLength.
func (n *network) countCalls(count int) {
	n.calls += count
	slot := n.now.UnixMilli() / slotLength.Milliseconds()
	n.slots[slot] += count
	sum := 0
	for i := range int64(time.Second / slotLength) {
		sum += n.slots[slot-i]
	}
	n.busiest = max(n.busiest, sum)
}

// receive accepts or rejects a value that the node has read or fetched.
func (d *node) receive(v lists.Value) {
	now := d.net.now
	if v.Version <= d.values[v.Kind].Version {
		return
	}
	if invalid(v) && !d.lenient {
		d.core.Rejected(v.Kind, v.Version, now)
		return
	}
	d.values[v.Kind] = v
	d.changes[v.Kind] = append(d.changes[v.Kind], change{at: now, version: v.Version})
	d.archive.Store(v)
	if v.Kind == lists.KindHosts {
		d.core.SetHosts(d.net.hosts)
		d.members.SetHosts(d.net.hosts)
	}
	d.carryOut(d.core.Accepted(v.Kind, v.Version, now, d.skip))
}
