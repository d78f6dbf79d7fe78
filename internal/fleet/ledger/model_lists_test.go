package ledger

import (
	"slices"

	"pgregory.net/rapid"
)

// publish adds or removes one host of the list, or replaces any number of them.
func (m *model) publish(t *rapid.T) {
	hosts := m.drawList(t)
	if len(hosts) == 0 || !m.sharesMajorities(hosts) && !m.hasWitness(hosts) {
		return
	}
	m.lists = append(m.lists, hosts)
	for _, d := range m.daemons {
		if d.alive && rapid.IntRange(0, 3).Draw(t, "receives list") > 0 {
			m.updateList(d)
		}
	}
}

// drawList returns the newest list with one host or several added or removed.
func (m *model) drawList(t *rapid.T) []string {
	hosts := slices.Clone(m.lists[len(m.lists)-1])
	changes := 1
	if rapid.Bool().Draw(t, "replaces many") {
		changes = len(m.daemons)
	}
	for range changes {
		name := m.drawDaemon(t).name
		if at := slices.Index(hosts, name); at >= 0 {
			hosts = slices.Delete(hosts, at, at+1)
		} else {
			hosts = append(hosts, name)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// sharesMajorities reports whether a new list shares so many hosts with every list that a majority
// still has, or recently had, that any majority of the one and any of the other have a host in common.
// This assumption about the platform suffices for safety.
func (m *model) sharesMajorities(next []string) bool {
	for _, d := range m.daemons {
		if !d.alive || !d.history.Confirmed(m.now) && !m.heldByMajority(d.hosts) {
			continue
		}
		union := map[string]bool{}
		for _, name := range slices.Concat(d.hosts, next) {
			union[name] = true
		}
		if len(d.hosts)/2+1+len(next)/2+1 <= len(union) {
			return false
		}
	}
	return true
}

// heldByMajority reports whether a majority of a list's hosts have it.
func (m *model) heldByMajority(list []string) bool {
	holding := 0
	for _, name := range list {
		if d := m.daemon(name); d.alive && slices.Equal(d.hosts, list) {
			holding++
		}
	}
	return 2*holding > len(list)
}

// hasWitness reports whether a new list contains a running host that has seen every
// list on which others may still act. This assumption suffices for safety too.
func (m *model) hasWitness(next []string) bool {
	for _, name := range next {
		d := m.daemon(name)
		if d.alive && d.listIndex == len(m.lists)-1 && !d.history.Report().Gap {
			return true
		}
	}
	return false
}

// partitionAndReplace partitions the fleet while the platform replaces hosts, and only one side receives the new list.
func (m *model) partitionAndReplace(t *rapid.T) {
	m.now = m.now.Add(2 * modelWindow)
	m.confirmAll()
	m.partition(t)
	next := m.drawList(t)
	if !m.hasWitness(next) {
		return
	}
	m.lists = append(m.lists, next)
	first := m.drawDaemon(t)
	for _, d := range m.daemons {
		if d == first || m.canReach(first.name, d.name) {
			m.updateList(d)
		}
	}
}

// partition splits the fleet in two sides, or heals it when all daemons are drawn to one side.
func (m *model) partition(t *rapid.T) {
	m.unreachable = map[[2]string]bool{}
	side := rapid.IntRange(0, 1<<len(m.daemons)-1).Draw(t, "side")
	for i, a := range m.daemons {
		for j, b := range m.daemons {
			m.unreachable[[2]string{a.name, b.name}] = side>>i&1 != side>>j&1
		}
	}
}
