package daemon

import (
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// usableHosts caches the hosts of each service that may receive new work.
//
// The placer recognises an unchanged host list by its slice. If the list were filtered for each request while a host is
// suspected or leaving, the placer would process it as a new list each time: with 400 instances that costs each
// request tens of microseconds, and just when the fleet is in trouble.
type usableHosts struct {
	mu       sync.Mutex
	view     *lists.View
	members  *member.View
	filtered map[string][]lists.Host
}

// forService returns the service's usable hosts; it returns the same slice until the view or the members change.
func (u *usableHosts) forService(service string, view *lists.View, members *member.View) []lists.Host {
	if members.Empty() {
		return view.HostsOf(service)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.view != view || u.members != members {
		u.view, u.members = view, members
		u.filtered = map[string][]lists.Host{}
	}
	hosts, ok := u.filtered[service]
	if !ok {
		hosts = members.Usable(view.HostsOf(service))
		u.filtered[service] = hosts
	}
	return hosts
}

// usable returns the hosts of a service that may receive new work.
func (d *Daemon) usable(service string) []lists.Host {
	return d.hosts.forService(service, d.view.Load(), d.members.Load())
}
