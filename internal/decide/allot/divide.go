package allot

import (
	"maps"
	"math"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// divide returns the part of each lane that fits into the room; room is used up by it.
//
// Each lane first gets a part of what it would have if all were alike, and then what is left goes by rank.
func divide(lanes []lane, room map[string]float64) map[shed.Lane]float64 {
	slices.SortFunc(lanes, func(a, b lane) int { return a.Rank.Compare(b.Rank) })
	open := make(map[shed.Lane]float64, len(lanes))
	even := fill(lanes, open, maps.Clone(room))
	for _, l := range lanes {
		open[l.Lane] = even[l.Lane] * evenPart
		take(l, open[l.Lane], room)
	}
	for from := 0; from < len(lanes); {
		to := from
		for to < len(lanes) && lanes[to].Rank == lanes[from].Rank {
			to++
		}
		for l, part := range fill(lanes[from:to], open, room) {
			open[l] += part * (1 - open[l])
		}
		from = to
	}
	top(lanes, open, room)
	return open
}

// top gives out what is left because lanes that need several services were held back by one of them.
func top(lanes []lane, open map[shed.Lane]float64, room map[string]float64) {
	for _, l := range lanes {
		more := 1 - open[l.Lane]
		for service, need := range l.needs {
			if slots, known := room[service]; known && need > 0 {
				more = min(more, max(slots, 0)/need)
			}
		}
		open[l.Lane] += more
		take(l, more, room)
	}
}

// fill gives each lane the same part of what is not open of it yet, as much as fits, and takes it out of the room. Lanes that don't
// need the scarcest service share out what is left of the others.
func fill(lanes []lane, open map[shed.Lane]float64, room map[string]float64) map[shed.Lane]float64 {
	parts := make(map[shed.Lane]float64, len(lanes))
	rest := slices.Clone(lanes)
	for len(rest) > 0 {
		scarcest, part := scarce(rest, open, room)
		rest = slices.DeleteFunc(rest, func(l lane) bool {
			if part < 1 && l.needs[scarcest] == 0 {
				return false
			}
			parts[l.Lane] = part
			take(l, part*(1-open[l.Lane]), room)
			return true
		})
	}
	return parts
}

// scarce returns the service that has the least room for what the lanes still want, and the part of it that fits.
func scarce(lanes []lane, open map[shed.Lane]float64, room map[string]float64) (name string, part float64) {
	wanted := map[string]float64{}
	for _, l := range lanes {
		for service, need := range l.needs {
			wanted[service] += need * (1 - open[l.Lane])
		}
	}
	part = math.Inf(1)
	for service, want := range wanted {
		slots, known := room[service]
		if !known || want <= 0 {
			continue
		}
		if fits := max(slots, 0) / want; fits < part || fits == part && service < name {
			name, part = service, fits
		}
	}
	return name, min(part, 1)
}

func take(l lane, part float64, room map[string]float64) {
	for service, need := range l.needs {
		if _, known := room[service]; known {
			room[service] -= need * part
		}
	}
}
