package collect

import "net/netip"

// treeFanOut is the number of hosts to which one host of a tree passes something on.
const treeFanOut = 4

// Children returns the hosts to which the host passes on what the root spreads over the fleet. All hosts with the same list compute the same
// tree, which reaches each listed host once. A root that isn't listed has a place of its own before them.
func (t *Topology) Children(root, host netip.Addr) []netip.Addr {
	size, first, offset := len(t.order), t.Position(root), 1
	if t.listed(root) {
		offset = 0
	}
	if size == 0 {
		return nil
	}
	index := 0
	if host != root {
		if !t.listed(host) {
			return nil
		}
		index = (t.Position(host)-first+size)%size + offset
	}
	var children []netip.Addr
	for child := index*treeFanOut + 1; child <= (index+1)*treeFanOut && child < size+offset; child++ {
		children = append(children, t.addresses[(first+child-offset)%size])
	}
	return children
}

func (t *Topology) listed(host netip.Addr) bool {
	_, listed := t.zones[host]
	return listed
}
