package peer

import "net/netip"

//go:generate stringer -type=Place -linecomment

// Place says whether another node is in this node's availability zone.
type Place uint8

const (
	// UnknownPlace is the place of a host that is not known yet.
	UnknownPlace Place = iota // unknown
	// SameZone is the place of a host in this node's availability zone.
	SameZone // sameZone
	// OtherZone is the place of a host in another availability zone.
	OtherZone // otherZone
)

// Places is the number of places.
const Places = int(OtherZone) + 1

// PlaceOf returns the place of a host in the zone for a node in the zone own; an empty zone is not known.
func PlaceOf(zone, own string) Place {
	switch {
	case zone == "" || own == "":
		return UnknownPlace
	case zone == own:
		return SameZone
	default:
		return OtherZone
	}
}

// WithPlaces sets the function that returns the place of a host, by which traffic is counted. It is called by several goroutines and must
// not block.
func WithPlaces(placeOf func(host netip.Addr) Place) Option {
	return func(n *Node) { n.placeOf = placeOf }
}

// placeOfRemote returns the place of the link's other side. It is looked up until it is known, since a link may be opened before the list
// of hosts has arrived.
func (l *link) placeOfRemote() Place {
	if known := Place(l.place.Load()); known != UnknownPlace {
		return known
	}
	place := l.node.placeOf(l.remote.Addr().Unmap())
	l.place.Store(uint32(place))
	return place
}
