package allot

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

func TestNeedsByUncertainEdges(t *testing.T) {
	// Guards against refusing a class for a service that it may not need: an instance that can't tell its routes apart attributes some sub-calls
	// of the chain to the plain route.
	plain, chain := shed.Class{Route: "plain", Service: "plain"}, shed.Class{Route: "chain", Service: "chain"}
	uncertain, certain := graph.Edges{"plain": {"leaf": 3}, "chain": {"leaf": 3.9}}, graph.Edges{"chain": {"leaf": 4}}
	for _, c := range []struct {
		name string
		// known and unknown are what instances report whose callers of the leaf are certain and uncertain.
		known, unknown graph.Edges
		plainLimited   bool
	}{
		{"all edges are uncertain: each counts", nil, uncertain, true},
		{"the chain is certain: the uncertain edge of the plain route limits nothing", certain, uncertain, false},
		{"both are certain", graph.Edges{"plain": {"leaf": 3}, "chain": {"leaf": 4}}, nil, true},
		{"the plain route has none", certain, nil, false},
	} {
		Convey(c.name, t, func() {
			now := time.Unix(1000, 0)
			g, p := graph.New(), New()
			g.Merge(c.unknown, nil, now)
			if c.known != nil {
				g.Merge(c.known, []string{"leaf"}, now)
			}
			g.Merge(c.unknown, nil, now)
			p.RecordHoldTimes("leaf", host, []HoldTime{{Route: "leaf", Seconds: 1, Count: 100}}, now)
			fractions := p.Plan(State{
				Demand: map[shed.Class]float64{plain: 333, chain: 2300}, Slots: map[string]float64{"plain": 100, "chain": 100, "leaf": 10},
				CallGraph: g.Edges(), Shares: sameNamedService,
			}, now)
			_, limited := fractions[plain]
			So(limited, ShouldEqual, c.plainLimited)
			So(fractions[chain], ShouldBeBetween, 0.05, 0.2)
		})
	}
}
