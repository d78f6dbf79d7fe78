package daemon

import (
	"net/netip"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// viewZones has the availability zones of the hosts of a view, by address.
type viewZones struct {
	view  *lists.View
	zones map[netip.Addr]string
}

// placeOf returns the place of another daemon's host. The zones are collected once per view, since links to unlisted hosts ask for each message.
func (d *Daemon) placeOf(host netip.Addr) peer.Place {
	view := d.view.Load()
	cached := d.zones.Load()
	if cached == nil || cached.view != view {
		cached = &viewZones{view: view, zones: make(map[netip.Addr]string, len(view.Hosts()))}
		for _, h := range view.Hosts() {
			cached.zones[h.Peer.Addr()] = h.Zone
		}
		d.zones.Store(cached)
	}
	return peer.PlaceOf(cached.zones[host], d.settings.Zone)
}
