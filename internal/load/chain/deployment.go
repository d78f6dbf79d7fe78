package chain

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// Service is the size of one service and the mean time that one request takes of a slot.
type Service struct {
	Name      string
	Instances int
	Slots     int
	Conns     int
	Mean      time.Duration
}

// Operation is one kind of request: the services that it runs at, each calling the next.
type Operation struct {
	Name     string
	Priority call.Priority
	Path     []string
	// Share is its part of all requests.
	Share   float64
	Timeout time.Duration
	// Fan is how many calls side by side the service at FanAt in the path makes of the next; 0 and 1 mean one.
	Fan   int
	FanAt int
}

// width returns how many calls of one request reach the service at that place of the path.
func (o *Operation) width(hop int) int {
	if hop > o.FanAt {
		return max(o.Fan, 1)
	}
	return 1
}

// Deployment is the sizes of one user's fleet.
type Deployment struct {
	Name       string
	Services   []Service
	Operations []Operation
	// Demand is each organisation's part of all requests; a few are large.
	Demand []float64
	// Insist is how often an upstream repeats by itself a call of its own that failed.
	Insist int
}

var demand = []float64{0.30, 0.25, 0.12, 0.10, 0.08, 0.06, 0.05, 0.04}

// Rejestr returns the sizes of Rejestr Wezwań Mazowsze; slot times are assumed.
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

// Desarrollos returns the sizes of Desarrollos Quetzaltenango Soluciones; slot times are assumed.
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

// busiest is the part of the tightest service's slots that load 1 keeps busy.
const busiest = 0.8

// rate returns the requests a second at load 1. A slot is held while the
// services further down the path work.
func (d *Deployment) rate() float64 {
	means := map[string]time.Duration{}
	for _, s := range d.Services {
		means[s.Name] = s.Mean
	}
	held := map[string]float64{}
	for _, o := range d.Operations {
		below := 0.0
		for i := len(o.Path) - 1; i >= 0; i-- {
			below += means[o.Path[i]].Seconds()
			held[o.Path[i]] += o.Share * below * float64(o.width(i))
		}
	}
	tightest := 0.0
	for _, s := range d.Services {
		tightest = max(tightest, held[s.Name]/float64(s.Instances*s.Slots))
	}
	return busiest / tightest
}

// interactive returns the part of all requests that are interactive.
func (d *Deployment) interactive() float64 {
	part := 0.0
	for _, o := range d.Operations {
		if o.Priority == call.Interactive {
			part += o.Share
		}
	}
	return part
}

// deepest returns the service that most requests end at.
func (d *Deployment) deepest() string {
	path := d.Operations[0].Path
	return path[len(path)-1]
}
