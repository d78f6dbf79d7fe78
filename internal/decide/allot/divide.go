package allot

import (
	"cmp"
	"math"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// resource is something of a service that requests use up.
type resource struct {
	service string
	use     use
}

//go:generate stringer -type=use -linecomment

// use tells the resources of one service apart.
type use uint8

const (
	// slots are counted in slots that are held.
	slots use = iota // slots
	// again are the repeats to the service, in repeats a second.
	again // repeats
)

// divide returns the part of each lane that fits into the room; room is used up by it.
//
// One part of the room opens all lanes alike, and the rest is shared out by what they need, with more for those that go first.
func divide(lanes []lane, room map[resource]float64) map[shed.Class]float64 {
	slices.SortFunc(lanes, lane.compare)
	open := make(map[shed.Class]float64, len(lanes))
	fill(lanes, open, shared(room), alike)
	for _, l := range lanes {
		take(l, open[l.Class], room)
	}
	fill(lanes, open, room, lane.claim)
	return open
}

// shared returns the part of the room that opens all lanes alike.
func shared(room map[resource]float64) map[resource]float64 {
	some := make(map[resource]float64, len(room))
	for what, left := range room {
		part := alikePart
		if what.use == again {
			part = alikeRepeats
		}
		some[what] = part * left
	}
	return some
}

// alike makes all lanes rise by the same part.
func alike(lane, map[resource]float64) float64 { return 1 }

// fill opens the lanes further, in steps that are the smaller the more a lane weighs, until it is open or something that it
// needs is used up. Weighed by what they need most, lanes whose requests need little are open before those whose need much.
func fill(lanes []lane, open map[shed.Class]float64, room map[resource]float64, weigh func(lane, map[resource]float64) float64) {
	rising := make([]riser, 0, len(lanes))
	for _, l := range lanes {
		if l.share(room) == 0 {
			open[l.Class] = 1
			continue
		}
		rising = append(rising, riser{l, weigh(l, room)})
	}
	// Each round opens a lane or uses something up; the bound is for what rounding leaves over.
	for range 2 * (len(lanes) + len(room) + 1) {
		rising = slices.DeleteFunc(rising, func(r riser) bool { return open[r.Class] >= 1 || r.stuck(room) })
		if len(rising) == 0 {
			return
		}
		step := stepOf(rising, open, room)
		for _, r := range rising {
			part := min(step/r.weight, 1-open[r.Class])
			open[r.Class] += part
			take(r.lane, part, room)
		}
	}
}

// riser is a lane that is opened further.
type riser struct {
	lane
	weight float64
}

// nothing is an amount that is left over by rounding.
const nothing = 1e-9

// stuck reports whether something that the lane needs is used up.
func (r riser) stuck(room map[resource]float64) bool {
	for what, need := range r.needs {
		if left, known := room[what]; known && need > 0 && left <= nothing*(1+need) {
			return true
		}
	}
	return false
}

// stepOf returns how far the lanes can rise until a lane is open or something is used up.
func stepOf(rising []riser, open map[shed.Class]float64, room map[resource]float64) float64 {
	step := math.Inf(1)
	speeds := map[resource]float64{}
	for _, r := range rising {
		step = min(step, (1-open[r.Class])*r.weight)
		for what, need := range r.needs {
			speeds[what] += need / r.weight
		}
	}
	for what, speed := range speeds {
		if left, known := room[what]; known && speed > 0 {
			step = min(step, left/speed)
		}
	}
	return step
}

// share returns the part of the room that all of the lane would take of what it needs most; 0 if it needs nothing that is bounded.
func (l lane) share(room map[resource]float64) float64 {
	most := 0.0
	for what, need := range l.needs {
		if left, known := room[what]; known && need > 0 {
			most = max(most, need/max(left, nothing))
		}
	}
	return most
}

// claim is the lane's share in relation to its standing: of what is short, a lane gets less than one that goes before it.
func (l lane) claim(room map[resource]float64) float64 {
	behind := min(l.Rank.Organisation, lastRank) + min(l.Rank.Route, lastRank)
	return l.share(room) * math.Pow(rankWeight, float64(behind))
}

const (
	// rankWeight is how much more a lane gets of what is short than one a rank behind it.
	rankWeight = 1.5
	// lastRank stands for all ranks behind it.
	lastRank = 2
)

// compare orders lanes by rank and then by name, so that a plan is the same for the same figures.
func (l lane) compare(other lane) int {
	return cmp.Or(l.Rank.Compare(other.Rank), cmp.Compare(l.Route, other.Route), cmp.Compare(l.Service, other.Service))
}

func take(l lane, part float64, room map[resource]float64) {
	for what, need := range l.needs {
		if _, known := room[what]; known {
			room[what] -= need * part
		}
	}
}
