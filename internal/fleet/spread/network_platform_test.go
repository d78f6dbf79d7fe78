package spread

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// read is one look at the platform.
func (d *node) read(what Read) {
	n := d.net
	kinds := []lists.Kind{lists.KindHosts}
	if what == ReadAll {
		kinds = []lists.Kind{lists.KindPlans, lists.KindUses, lists.KindKeys, lists.KindHosts}
	}
	n.reads += len(kinds)
	n.called(len(kinds))
	d.takeFrom(kinds, what == ReadAll)
}

// watch is a reader's look at each tick; a watch itself is one call a list and watch length.
func (d *node) watch() {
	n := d.net
	if n.now.Sub(d.watched) >= watchTime {
		d.watched = n.now
		n.called(lists.Kinds)
	}
	d.takeFrom([]lists.Kind{lists.KindPlans, lists.KindUses, lists.KindKeys, lists.KindHosts}, false)
}

func (d *node) takeFrom(kinds []lists.Kind, all bool) {
	n := d.net
	if n.down[d.host.Zone] {
		return
	}
	for _, k := range kinds {
		d.offer(n.served[k])
	}
	d.core.PlatformAnswered(n.now, n.now, all && n.served[lists.KindHosts].Version > 0)
}

// called counts calls of the platform, and the most in any second by the slots of a twentieth of it.
func (n *network) called(count int) {
	n.calls += count
	slot := n.now.UnixMilli() / slotTime.Milliseconds()
	n.slots[slot] += count
	sum := 0
	for i := range int64(time.Second / slotTime) {
		sum += n.slots[slot-i]
	}
	n.busiest = max(n.busiest, sum)
}

func (d *node) offer(v lists.Value) {
	now := d.net.now
	if v.Version <= d.have[v.Kind].Version {
		return
	}
	if bad(v) && !d.lenient {
		d.core.Rejected(v.Kind, v.Version, now)
		return
	}
	d.have[v.Kind] = v
	d.changes[v.Kind] = append(d.changes[v.Kind], change{at: now, version: v.Version})
	d.archive.Store(v)
	if v.Kind == lists.KindHosts {
		d.core.SetHosts(d.net.hosts)
		d.members.SetHosts(d.net.hosts)
	}
	d.carryOut(d.core.Accepted(v.Kind, v.Version, now, d.skip))
}
