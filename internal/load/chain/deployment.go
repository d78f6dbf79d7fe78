package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Service is the size of one service and the mean work time of its requests.
type Service struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
	MeanWork    time.Duration
}

// Operation is one kind of request, with the services on its path, each of which calls the next.
type Operation struct {
	Name     string
	Priority call.Priority
	Path     []string
	// Share is the operation's fraction of all requests.
	Share   float64
	Timeout time.Duration
	// FanOut is the number of concurrent sub-calls that the service at index FanOutHop of the path makes; 0 and 1 mean one.
	FanOut    int
	FanOutHop int
}

// width returns the number of sub-calls for one request that reach the service at that index of the path.
func (o *Operation) width(hop int) int {
	if hop > o.FanOutHop {
		return max(o.FanOut, 1)
	}
	return 1
}

// Deployment describes a fleet and its load.
type Deployment struct {
	Name       string
	Services   []Service
	Operations []Operation
	// Demand is each organisation's fraction of all requests; a few are large.
	Demand []float64
	// UpstreamRetries is how often an upstream itself retries a failed sub-call.
	UpstreamRetries int
}

var demand = []float64{0.30, 0.25, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04}

// Rejestr returns the sizes of Rejestr Wezwań Mazowsze; work times are assumed.
func Rejestr() Deployment {
	return Deployment{
		Name: "rejestr",
		Services: []Service{
			{"lookup", 5, 35, 300, 30 * time.Millisecond},
			{"dispatch", 3, 50, 400, 40 * time.Millisecond},
			{"campaigns", 3, 50, 400, 80 * time.Millisecond},
			{"repairs", 3, 15, 200, 40 * time.Millisecond},
		},
		Operations: []Operation{
			{Name: "lookup.find", Priority: call.Interactive, Path: []string{"lookup", "repairs"}, Share: 0.5, Timeout: time.Second},
			{Name: "dispatch.notice", Priority: call.Standard, Path: []string{"dispatch", "lookup", "repairs"}, Share: 0.3, Timeout: time.Second},
			{Name: "campaigns.send", Priority: call.Background, Path: []string{"campaigns", "dispatch", "lookup", "repairs"}, Share: 0.2, Timeout: 2 * time.Second},
		},
		Demand: demand,
	}
}

// Desarrollos returns the sizes of Desarrollos Quetzaltenango Soluciones; work times are assumed.
func Desarrollos() Deployment {
	return Deployment{
		Name: "desarrollos",
		Services: []Service{
			{"calendario", 6, 100, 700, 60 * time.Millisecond},
			{"cobranza", 4, 150, 1000, 80 * time.Millisecond},
			{"archivo-foto", 3, 200, 1250, 150 * time.Millisecond},
			{"despacho", 3, 20, 250, 40 * time.Millisecond},
		},
		Operations: []Operation{
			{Name: "calendario.book", Priority: call.Interactive, Path: []string{"calendario", "despacho"}, Share: 0.4, Timeout: time.Second},
			{Name: "cobranza.charge", Priority: call.Standard, Path: []string{"cobranza", "calendario", "despacho"}, Share: 0.3, Timeout: time.Second},
			{Name: "foto.send", Priority: call.Background, Path: []string{"archivo-foto", "cobranza", "despacho"}, Share: 0.3, Timeout: 2 * time.Second},
		},
		Demand: demand,
	}
}

// bottleneckSaturation is the fraction of the bottleneck service's slots that are in use at load 1.
const bottleneckSaturation = 0.8

// rate returns the requests per second at load 1. A slot is held while the services further along the path work.
func (d *Deployment) rate() float64 {
	workTimes := map[string]time.Duration{}
	for _, s := range d.Services {
		workTimes[s.Name] = s.MeanWork
	}
	slotTime := map[string]float64{}
	for _, o := range d.Operations {
		holdTime := 0.0
		for i := len(o.Path) - 1; i >= 0; i-- {
			holdTime += workTimes[o.Path[i]].Seconds()
			slotTime[o.Path[i]] += o.Share * holdTime * float64(o.width(i))
		}
	}
	highest := 0.0
	for _, s := range d.Services {
		highest = max(highest, slotTime[s.Name]/float64(s.Instances*s.Slots))
	}
	return bottleneckSaturation / highest
}

// interactiveShare returns the fraction of interactive requests.
func (d *Deployment) interactiveShare() float64 {
	share := 0.0
	for _, o := range d.Operations {
		if o.Priority == call.Interactive {
			share += o.Share
		}
	}
	return share
}

// lastService returns the last service of the first operation's path, at which most requests end.
func (d *Deployment) lastService() string {
	path := d.Operations[0].Path
	return path[len(path)-1]
}
