package daemon

import (
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// usableHosts keeps the hosts of each service that may get new work.
//
// The placer takes a slice that it has seen for a list that hasn't changed.
// Filtered anew for each request while some host is in doubt, the list would be
// taken over anew as well: 400 instances would cost each request tens of
// microseconds just when the fleet is in trouble.
type usableHosts struct {
	mu      sync.Mutex
	view    *lists.View
	members *member.View
	kept    map[string][]lists.Host
}

// of returns the service's usable hosts, the same slice while neither view nor members change.
func (u *usableHosts) of(service string, view *lists.View, members *member.View) []lists.Host {
	if members.Empty() {
		return view.HostsOf(service)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.view != view || u.members != members {
		u.view, u.members = view, members
		u.kept = map[string][]lists.Host{}
	}
	hosts, ok := u.kept[service]
	if !ok {
		hosts = members.Usable(view.HostsOf(service))
		u.kept[service] = hosts
	}
	return hosts
}

// usable returns the hosts of a service that may get new work.
func (d *Daemon) usable(service string) []lists.Host {
	return d.hosts.of(service, d.view.Load(), d.members.Load())
}
