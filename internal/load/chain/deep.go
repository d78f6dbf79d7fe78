package chain

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

const (
	deepInstances = 2
	deepSlots     = 6
	deepMean      = 20 * time.Millisecond
	deepTimeout   = 2 * time.Second
	// deepRoom is how much more than the deepest service each one above it can do, and deepConns the connections of a slot.
	deepRoom  = 2
	deepConns = 6
	// deepInsist is what the client libraries of upstreams commonly do: three tries in all.
	deepInsist = 2
)

// Deep returns a chain of so many services whose upstreams repeat their own
// failed calls, with the deepest service the tightest. Of the service at half of
// its depth each request makes fan calls side by side.
func Deep(hops, fan int) Deployment {
	d := Deployment{Name: fmt.Sprintf("deep%d", hops), Demand: demand, Insist: deepInsist}
	if fan > 1 {
		d.Name = fmt.Sprintf("%sfan%d", d.Name, fan)
	}
	var path []string
	for i := range hops {
		path = append(path, fmt.Sprintf("service-%d", i+1))
	}
	share := func(name string, p call.Priority, share float64) Operation {
		return Operation{Name: name, Priority: p, Path: path, Share: share, Timeout: deepTimeout, Fan: fan, FanAt: hops / 2}
	}
	d.Operations = []Operation{share("find", call.Interactive, 0.5), share("send", call.Standard, 0.3), share("export", call.Background, 0.2)}
	for i, name := range path {
		// A slot is held for the rest of the path.
		slots := deepSlots * (hops - i) * d.Operations[0].width(i)
		if i < hops-1 {
			slots *= deepRoom
		}
		d.Services = append(d.Services, Service{name, deepInstances, slots, slots * deepConns, deepMean})
	}
	return d
}

// Deployments returns the deployments that experiments run at: the two users', then chains of 8 and 16.
func Deployments() []Deployment {
	return []Deployment{Rejestr(), Desarrollos(), Deep(8, 1), Deep(8, 4), Deep(16, 1)}
}
