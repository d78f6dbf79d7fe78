package lineage

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/fleet/graph"
)

const (
	// subCalls is how many sub-calls a successful run of the calling route makes, one after another.
	subCalls = 4
	// reportInterval is how often an instance reports what it has learned.
	reportInterval = 450 * time.Millisecond
	// learningTime is how long after a start or a release the graph must be right.
	learningTime = 2 * time.Second
)

// mixedFleet plays instances in virtual time that run a route with sub-calls and one without, whose sub-calls have shorter timeouts than
// their parents have.
type mixedFleet struct {
	rng *rand.Rand
	now time.Time
	// callFailures is the fraction of sub-calls that fail, each of which fails its run; runFailures is the fraction of runs that fail by
	// themselves, at a random moment.
	callFailures, runFailures float64
	caller                    string
	instances                 []*mixedInstance
	graph                     *graph.Graph
	steps                     []step
}

type mixedInstance struct {
	runs *Runs
	// rates has the runs begun a second by route.
	rates map[string]float64
}

// step is something that happens to an instance at a time.
type step struct {
	at time.Time
	do func()
}

func newMixedFleet(instances int, seed uint64, callFailures, runFailures float64) *mixedFleet {
	f := &mixedFleet{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), callFailures: callFailures, runFailures: runFailures,
		caller: "chain", graph: graph.New(),
	}
	for n := range instances {
		// Instances differ in their mix, by up to three times.
		skew := 1.0
		if instances > 1 {
			skew = 0.5 + float64(n)/float64(instances-1)
		}
		i := &mixedInstance{
			runs:  New(WithRand(f.rng.Float64), WithClock(func() time.Time { return f.now })),
			rates: map[string]float64{"plain": 333 * (2 - skew) / float64(instances), "chain": 2300 * skew / float64(instances)},
		}
		f.instances = append(f.instances, i)
		f.arrive(i, "plain", 150*time.Millisecond)
		f.arrive(i, "chain", 15*time.Millisecond)
		f.report(i, time.Duration(f.rng.Float64()*float64(reportInterval)))
	}
	return f
}

// in plays a function after the duration.
func (f *mixedFleet) in(d time.Duration, do func()) {
	at := f.now.Add(d)
	index, _ := slices.BinarySearchFunc(f.steps, at, func(s step, at time.Time) int { return -cmp.Compare(s.at.UnixNano(), at.UnixNano()) })
	f.steps = slices.Insert(f.steps, index, step{at, do})
}

func (f *mixedFleet) play(d time.Duration) {
	end := f.now.Add(d)
	for {
		next := f.steps[len(f.steps)-1]
		if next.at.After(end) {
			f.now = end
			return
		}
		f.steps = f.steps[:len(f.steps)-1]
		f.now = next.at
		next.do()
	}
}

func (f *mixedFleet) report(i *mixedInstance, after time.Duration) {
	f.in(after, func() {
		f.graph.Merge(i.runs.Calls(), i.runs.CertainlyCalled(), f.now)
		f.report(i, reportInterval)
	})
}

// arrive begins runs of a route at random times; a run lasts for the duration on average.
func (f *mixedFleet) arrive(i *mixedInstance, route string, duration time.Duration) {
	f.in(time.Duration(f.rng.ExpFloat64()/i.rates[route]*float64(time.Second)), func() {
		run := &Run{Route: route}
		i.runs.Begin(run, f.now.Add(2*time.Second+time.Duration(f.rng.IntN(1000))*time.Millisecond))
		lasts := time.Duration((0.5 + f.rng.Float64()) * float64(duration))
		if f.rng.Float64() < f.runFailures {
			f.in(time.Duration(f.rng.Float64()*float64(lasts)), func() { f.end(i, run, false) })
		}
		if route == f.caller {
			f.call(i, run, lasts/(subCalls+1), subCalls)
		} else {
			f.in(lasts, func() { f.end(i, run, true) })
		}
		f.arrive(i, route, duration)
	})
}

// call makes the remaining sub-calls of a run, each after the one before has ended.
func (f *mixedFleet) call(i *mixedInstance, run *Run, each time.Duration, remaining int) {
	f.in(each, func() {
		if !slices.Contains(i.runs.active, run) {
			return
		}
		if remaining == 0 {
			f.end(i, run, true)
			return
		}
		parent := i.runs.Parent("leaf", f.now.Add(500*time.Millisecond))
		if f.rng.Float64() >= f.callFailures {
			f.call(i, run, each, remaining-1)
			return
		}
		f.in(each, func() {
			i.runs.CallFailed(parent, "leaf", f.now)
			f.in(time.Millisecond, func() { f.end(i, run, false) })
		})
	})
}

func (f *mixedFleet) end(i *mixedInstance, run *Run, succeeded bool) {
	if !slices.Contains(i.runs.active, run) {
		return
	}
	i.runs.End(run, succeeded)
	if !succeeded {
		i.runs.CausedByCall(run, f.now)
	}
}

// instanceCounts are the sizes of the fleets that the tests play.
var instanceCounts = []int{1, 12}

// edges returns the sub-calls a run that the graph has for the two routes.
func (f *mixedFleet) edges() (plain, chain float64) {
	return f.graph.Edges()["plain"]["leaf"], f.graph.Edges()["chain"]["leaf"]
}

func TestGraphOfMixedInstances(t *testing.T) {
	// Guards against edges that nobody's calls stand behind: with 50 runs of a route without sub-calls beside 35 of one with four each, a
	// few of the latter's 9,200 sub-calls a second, attributed to the wrong route, are half a sub-call for each of its 333 runs. The ingress would
	// then refuse requests that need nothing of an overloaded service.
	for _, instances := range instanceCounts {
		for _, c := range []struct {
			name                      string
			callFailures, runFailures float64
			// perRun is how many sub-calls a run is known to make: those of successful runs, or of all runs where none succeeds. The case
			// without is in TestGraphWithinTwoSeconds.
			perRun float64
		}{
			{"no failures", 0, 0, subCalls},
			{"0.55 of the calls fail", 0.55, 0, 0},
			{"all calls fail", 1, 0, 1},
			{"runs fail early", 0, 0.3, subCalls},
			{"runs fail early and 0.55 of the calls fail", 0.55, 0.3, 0},
		} {
			for seed := range uint64(3) {
				Convey(fmt.Sprintf("%d instances, %s, seed %d: the graph has the true edges alone", instances, c.name, seed), t, func() {
					f := newMixedFleet(instances, seed, c.callFailures, c.runFailures)
					f.play(learningTime)
					plain, chain := f.edges()
					So(plain, ShouldBeLessThan, 0.02)
					if c.perRun > 0 {
						So(chain, ShouldAlmostEqual, c.perRun, 0.05*c.perRun)
					}
				})
			}
		}
	}
}

func TestGraphWhenCallsBeginToFail(t *testing.T) {
	// Guards against taking the start of an overload for a route's sub-calls: at once more runs of both routes begin, and those with
	// sub-calls make fewer each, since they end at the first that fails.
	for _, instances := range instanceCounts {
		for _, callFailures := range []float64{0.55, 1} {
			for _, growth := range []float64{1, 2} {
				for seed := range uint64(3) {
					Convey(fmt.Sprintf("%d instances, %v of the calls begin to fail, %v times the load, seed %d", instances, callFailures, growth, seed), t, func() {
						f := newMixedFleet(instances, seed, 0, 0)
						f.play(learningTime)
						f.callFailures = callFailures
						for _, i := range f.instances {
							i.rates["plain"] *= growth
							i.rates["chain"] *= growth
						}
						for range 8 {
							f.play(learningTime / 4)
							plain, _ := f.edges()
							So(plain, ShouldBeLessThan, 0.02)
						}
					})
				}
			}
		}
	}
}

func TestGraphWithinTwoSeconds(t *testing.T) {
	for _, instances := range instanceCounts {
		// Guards against underestimating what a run needs where few succeed: these last longer than those that fail, so that too few of the
		// sub-calls are attributed to them.
		for _, runFailures := range []float64{0, 0.3} {
			for seed := range uint64(3) {
				Convey(fmt.Sprintf("%d instances, 0.55 of the calls and %v of the runs fail, seed %d: the calls a run are known", instances, runFailures, seed), t, func() {
					f := newMixedFleet(instances, seed, 0.55, runFailures)
					f.play(learningTime)
					_, chain := f.edges()
					So(chain, ShouldAlmostEqual, subCalls, 0.05*subCalls)
				})
			}
		}
		// Guards against a graph that keeps the edges of a former version of an instance.
		Convey(fmt.Sprintf("%d instances: the graph follows a release that changes which route has sub-calls", instances), t, func() {
			f := newMixedFleet(instances, 1, 0, 0)
			f.play(3 * time.Second)
			f.caller = "plain"
			f.play(learningTime)
			plain, chain := f.edges()
			So(chain, ShouldBeLessThan, 0.02)
			So(plain, ShouldAlmostEqual, subCalls, 0.05*subCalls)
		})
	}
}

func TestGraphLongAfterRelease(t *testing.T) {
	// Guards against former edges that never end.
	for _, instances := range instanceCounts {
		for seed := range uint64(3) {
			Convey(fmt.Sprintf("%d instances, seed %d: six seconds after a release the graph has the new edges alone", instances, seed), t, func() {
				f := newMixedFleet(instances, seed, 0, 0)
				f.play(3 * time.Second)
				f.caller = "plain"
				f.play(3 * learningTime)
				plain, chain := f.edges()
				So(chain, ShouldBeLessThan, 0.02)
				So(plain, ShouldAlmostEqual, subCalls, 0.05*subCalls)
			})
		}
	}
}
