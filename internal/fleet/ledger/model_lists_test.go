package ledger

import (
	"slices"

	"pgregory.net/rapid"
)

// publish takes one host from the list or adds one, or replaces any of them.
func (m *model) publish(t *rapid.T) {
	hosts := m.draw(t)
	if len(hosts) == 0 || !m.gradual(hosts) && !m.witnessed(hosts) {
		return
	}
	m.lists = append(m.lists, hosts)
	for _, d := range m.daemons {
		if d.alive && rapid.IntRange(0, 3).Draw(t, "learns") > 0 {
			m.learn(d)
		}
	}
}

func (m *model) draw(t *rapid.T) []string {
	hosts := slices.Clone(m.lists[len(m.lists)-1])
	changes := 1
	if rapid.Bool().Draw(t, "replaces many") {
		changes = len(m.daemons)
	}
	for range changes {
		name := m.daemon(t).name
		if at := slices.Index(hosts, name); at >= 0 {
			hosts = slices.Delete(hosts, at, at+1)
		} else {
			hosts = append(hosts, name)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// gradual is one assumption about the platform that is enough: a new list shares so many hosts
// with any list that most hosts still have, or lately had, that most of the one
// and most of the other have a host in common.
func (m *model) gradual(next []string) bool {
	for _, d := range m.daemons {
		if !d.alive || !d.history.Confirmed(m.now) && !m.common(d.view) {
			continue
		}
		union := map[string]bool{}
		for _, name := range slices.Concat(d.view, next) {
			union[name] = true
		}
		if len(d.view)/2+1+len(next)/2+1 <= len(union) {
			return false
		}
	}
	return true
}

// common reports whether most hosts of a list have it.
func (m *model) common(list []string) bool {
	have := 0
	for _, name := range list {
		if d := m.find(name); d.alive && slices.Equal(d.view, list) {
			have++
		}
	}
	return 2*have > len(list)
}

// witnessed is another assumption that is enough: a new list names a host that
// is up and has seen every list that others may still act on.
func (m *model) witnessed(next []string) bool {
	for _, name := range next {
		d := m.find(name)
		if d.alive && d.seen == len(m.lists)-1 && !d.history.Report().Gap {
			return true
		}
	}
	return false
}

// part cuts the fleet in two while the platform replaces hosts, and only one side hears of it.
func (m *model) part(t *rapid.T) {
	m.now = m.now.Add(2 * modelWindow)
	m.confirmAll()
	m.split(t)
	next := m.draw(t)
	if !m.witnessed(next) {
		return
	}
	m.lists = append(m.lists, next)
	first := m.daemon(t)
	for _, d := range m.daemons {
		if d == first || m.reach(first.name, d.name) {
			m.learn(d)
		}
	}
}

// split parts the fleet in two, or makes it whole again.
func (m *model) split(t *rapid.T) {
	m.cut = map[[2]string]bool{}
	side := rapid.IntRange(0, 1<<len(m.daemons)-1).Draw(t, "side")
	for i, a := range m.daemons {
		for j, b := range m.daemons {
			m.cut[[2]string{a.name, b.name}] = side>>i&1 != side>>j&1
		}
	}
}
