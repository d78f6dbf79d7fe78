package chain

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

const (
	deepInstances = 2
	deepSlots     = 6
	deepWorkTime  = 20 * time.Millisecond
	deepTimeout   = 2 * time.Second
	// deepCapacityFactor is the capacity of each service but the last, relative to that of the last, and deepConnectionsPerSlot
	// the number of connections for each slot.
	deepCapacityFactor     = 2
	deepConnectionsPerSlot = 6
	// deepUpstreamRetries is a common default of upstreams' client libraries: three attempts in all.
	deepUpstreamRetries = 2
)

// Deep returns a chain of services whose upstreams retry failed sub-calls themselves; the last service is the bottleneck. At
// half of the depth each request fans out to that many concurrent sub-calls.
func Deep(hops, fanOut int) Deployment {
	d := Deployment{Name: fmt.Sprintf("deep%d", hops), Demand: demand, UpstreamRetries: deepUpstreamRetries}
	if fanOut > 1 {
		d.Name = fmt.Sprintf("%sfan%d", d.Name, fanOut)
	}
	var path []string
	for i := range hops {
		path = append(path, fmt.Sprintf("service-%d", i+1))
	}
	operation := func(name string, p call.Priority, share float64) Operation {
		return Operation{Name: name, Priority: p, Path: path, Share: share, Timeout: deepTimeout, FanOut: fanOut, FanOutHop: hops / 2}
	}
	d.Operations = []Operation{operation("find", call.Interactive, 0.5), operation("send", call.Standard, 0.3), operation("export", call.Background, 0.2)}
	for i, name := range path {
		// A slot is held while the rest of the path runs.
		slots := deepSlots * (hops - i) * d.Operations[0].width(i)
		if i < hops-1 {
			slots *= deepCapacityFactor
		}
		d.Services = append(d.Services, Service{name, deepInstances, slots, slots * deepConnectionsPerSlot, deepWorkTime})
	}
	return d
}

// Deployments returns the deployments of the experiments: Rejestr, Desarrollos and chains of 8 and 16 services.
func Deployments() []Deployment {
	return []Deployment{Rejestr(), Desarrollos(), Deep(8, 1), Deep(8, 4), Deep(16, 1)}
}
