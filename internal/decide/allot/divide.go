package allot

import (
	"cmp"
	"math"
	"slices"

	"github.com/foxtailhook/foxtailhook/internal/decide/shed"
)

// resource identifies a limited quantity of one service that requests use up.
type resource struct {
	service string
	kind    resourceKind
}

//go:generate stringer -type=resourceKind -linecomment

// resourceKind distinguishes the resources of one service.
type resourceKind uint8

const (
	// slots are the service's concurrency slots.
	slots resourceKind = iota // slots
	// retries are the retries per second that the fleet may send to the service.
	retries // repeats
)

// allocate returns the admitted fraction of each class such that all admitted requests fit into the remaining capacity, which it uses up.
//
// A first pass gives equalShare of the capacity to all classes by equal fractions. The second pass divides the rest by what each
// class needs, and favours higher-priority classes. The surplus of organisations gets what these passes leave.
func allocate(classes []classNeeds, remaining map[resource]float64) map[shed.Class]float64 {
	slices.SortFunc(classes, classNeeds.compare)
	fractions := make(map[shed.Class]float64, len(classes))
	usual, surplus := splitSurplus(classes)
	allocateUsual(usual, fractions, remaining)
	for _, c := range surplus {
		fractions[c.Class] = 0
	}
	progressiveFill(surplus, fractions, remaining, classNeeds.rankWeight)
	return fractions
}

// splitSurplus divides sorted classes into those of usual demand and those of surplus.
func splitSurplus(classes []classNeeds) (usual, surplus []classNeeds) {
	first := slices.IndexFunc(classes, func(c classNeeds) bool { return c.Surplus })
	if first < 0 {
		return classes, nil
	}
	return classes[:first], classes[first:]
}

// allocateUsual sets the admitted fractions of classes without surplus.
func allocateUsual(classes []classNeeds, fractions map[shed.Class]float64, remaining map[resource]float64) {
	progressiveFill(classes, fractions, equalPassCapacity(remaining), equalWeight)
	for _, c := range classes {
		consume(c, fractions[c.Class], remaining)
	}
	progressiveFill(classes, fractions, remaining, classNeeds.rankWeight)
}

// allocateWithoutRetries raises the fractions of classes whose requests are worth admitting without retries, as far as the remaining slots allow.
//
// It handles a service that declines half of its requests for longer than the retry budget lasts. Requests that reach it once are then
// refused for want of retries while its slots are free, although nearly half of them would succeed at the first attempt.
func allocateWithoutRetries(classes []classNeeds, fractions map[shed.Class]float64, remaining map[resource]float64) {
	direct := make([]classNeeds, 0, len(classes))
	for _, c := range classes {
		if c.firstAttemptSuccess >= minFirstAttemptSuccess {
			direct = append(direct, c.withoutRetries())
		}
	}
	progressiveFill(direct, fractions, remaining, classNeeds.rankWeight)
}

// withoutRetries returns the class with its needs of slots alone.
func (c classNeeds) withoutRetries() classNeeds {
	needs := make(map[resource]float64, len(c.needs))
	for r, need := range c.needs {
		if r.kind == slots {
			needs[r] = need
		}
	}
	return classNeeds{Class: c.Class, needs: needs}
}

// equalPassCapacity returns the share of the capacity that the equal-fraction pass allocates.
func equalPassCapacity(capacity map[resource]float64) map[resource]float64 {
	equal := make(map[resource]float64, len(capacity))
	for r, amount := range capacity {
		fraction := equalShare
		if r.kind == retries {
			fraction = equalRetryShare
		}
		equal[r] = fraction * amount
	}
	return equal
}

// equalWeight raises the fractions of all classes at the same rate.
func equalWeight(classNeeds, map[resource]float64) float64 { return 1 }

// progressiveFill raises the fraction of each class, more slowly for a greater weight, until all of the class is admitted or a resource
// that it needs is exhausted. Weighted by dominant share, classes whose requests need little are admitted in full before those
// whose requests need much.
func progressiveFill(classes []classNeeds, fractions map[shed.Class]float64, remaining map[resource]float64, weightOf func(classNeeds, map[resource]float64) float64) {
	active := make([]growing, 0, len(classes))
	for _, c := range classes {
		if c.dominantShare(remaining) == 0 {
			fractions[c.Class] = 1
			continue
		}
		active = append(active, growing{c, weightOf(c, remaining)})
	}
	// Each round completes a class or exhausts a resource; the bound covers residues of rounding.
	for range 2 * (len(classes) + len(remaining) + 1) {
		active = slices.DeleteFunc(active, func(g growing) bool { return fractions[g.Class] >= 1 || g.exhausted(remaining) })
		if len(active) == 0 {
			return
		}
		step := maxStep(active, fractions, remaining)
		for _, g := range active {
			added := min(step/g.weight, 1-fractions[g.Class])
			fractions[g.Class] += added
			consume(g.classNeeds, added, remaining)
		}
	}
}

// growing is a class whose admitted fraction is still being raised.
type growing struct {
	classNeeds
	weight float64
}

// epsilon is the residue that rounding may leave, relative to 1 plus the need.
const epsilon = 1e-9

// exhausted reports whether a resource that the class needs is used up.
func (g growing) exhausted(remaining map[resource]float64) bool {
	for r, need := range g.needs {
		if left, known := remaining[r]; known && need > 0 && left <= epsilon*(1+need) {
			return true
		}
	}
	return false
}

// maxStep returns the largest step before a class is admitted in full or a resource is exhausted.
func maxStep(active []growing, fractions map[shed.Class]float64, remaining map[resource]float64) float64 {
	step := math.Inf(1)
	rates := map[resource]float64{}
	for _, g := range active {
		step = min(step, (1-fractions[g.Class])*g.weight)
		for r, need := range g.needs {
			rates[r] += need / g.weight
		}
	}
	for r, rate := range rates {
		if left, known := remaining[r]; known && rate > 0 {
			step = min(step, left/rate)
		}
	}
	return step
}

// dominantShare returns the largest fraction of any remaining resource that the class would take if it were admitted in full, or 0 if
// it needs no limited resource.
func (c classNeeds) dominantShare(remaining map[resource]float64) float64 {
	share := 0.0
	for r, need := range c.needs {
		if left, known := remaining[r]; known && need > 0 {
			share = max(share, need/max(left, epsilon))
		}
	}
	return share
}

// rankWeight is the dominant share scaled up for each rank of lower priority, so that a lower-priority class gets less of a scarce resource.
func (c classNeeds) rankWeight(remaining map[resource]float64) float64 {
	rank := min(c.Rank.Organisation, maxRank) + min(c.Rank.Route, maxRank)
	return c.dominantShare(remaining) * math.Pow(rankFactor, float64(rank))
}

const (
	// rankFactor is how much more of a scarce resource a class gets than one that is one rank lower in priority.
	rankFactor = 1.5
	// minFirstAttemptSuccess is the probability of success from which on requests are admitted without retries; below it, most of their work would
	// be wasted.
	minFirstAttemptSuccess = 0.3
	// maxRank is the rank that all lower-priority ranks count as.
	maxRank = 2
)

// compare orders classes by rank and then by name, the surplus after all others, so that equal inputs always give the same plan.
func (c classNeeds) compare(other classNeeds) int {
	return cmp.Or(compareSurplus(c.Class, other.Class), c.Rank.Compare(other.Rank), cmp.Compare(c.Route, other.Route), cmp.Compare(c.Service, other.Service))
}

func compareSurplus(a, b shed.Class) int {
	switch {
	case a.Surplus == b.Surplus:
		return 0
	case b.Surplus:
		return -1
	default:
		return 1
	}
}

// consume subtracts what the fraction of the class needs from the remaining capacity.
func consume(c classNeeds, fraction float64, remaining map[resource]float64) {
	for r, need := range c.needs {
		if _, known := remaining[r]; known {
			remaining[r] -= need * fraction
		}
	}
}
