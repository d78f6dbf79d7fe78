package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// measuredHost is never restarted, so that growth of its memory shows a leak.
	measuredHost = "lookup-1"
	// maxFaults is the maximum number of faults at the same time, each of another kind.
	maxFaults = 3
)

// fault is a temporary fault with the commands that begin and end it; a target has one fault at a time.
type fault struct {
	kind   string
	target string
	begin  []string
	end    []string
	endsAt time.Duration
}

// step begins or ends a fault.
type step struct {
	// after is the time since the previous step.
	after   time.Duration
	kind    string
	command []string
	// active is the number of active faults after the step.
	active int
}

// faultScheduler chooses overlapping faults at random. The seed alone determines the steps.
type faultScheduler struct {
	rand *rand.Rand
	now  time.Duration
	// last is the time of the last step.
	last   time.Duration
	active []fault
	steps  []step
}

// schedule returns the steps of a test of the given length; all faults have ended after the last one.
func schedule(seed uint64, length time.Duration) []step {
	s := &faultScheduler{rand: rand.New(rand.NewPCG(seed, seed))}
	for s.now < length {
		s.endUntil(s.now)
		if len(s.active) == maxFaults {
			s.now = s.nextToEnd().endsAt
			s.endUntil(s.now)
		}
		s.begin(s.draw())
		s.now += s.randomDuration()
	}
	for len(s.active) > 0 {
		s.endUntil(s.nextToEnd().endsAt)
	}
	return s.steps
}

func (s *faultScheduler) pick(names ...string) string { return names[s.rand.IntN(len(names))] }

func (s *faultScheduler) randomDuration() time.Duration {
	return time.Duration(200+s.rand.IntN(1500)) * time.Millisecond
}

// longFaultOneIn makes one in 4 faults last longer than loans of tokens, the exchange of digests and the detection of
// failed hosts take.
const longFaultOneIn = 4

func (s *faultScheduler) faultDuration() time.Duration {
	if s.rand.IntN(longFaultOneIn) == 0 {
		return 4 * s.randomDuration()
	}
	return s.randomDuration()
}

func (s *faultScheduler) nextToEnd() fault {
	return slices.MinFunc(s.active, func(a, b fault) int { return int(a.endsAt - b.endsAt) })
}

func (s *faultScheduler) endUntil(now time.Duration) {
	for len(s.active) > 0 && s.nextToEnd().endsAt <= now {
		f := s.nextToEnd()
		s.active = slices.DeleteFunc(s.active, func(o fault) bool { return o.kind == f.kind })
		s.add(f.endsAt, f.kind, f.end)
	}
}

func (s *faultScheduler) begin(f fault) {
	f.endsAt = s.now + s.faultDuration()
	s.active = append(s.active, f)
	s.add(s.now, f.kind, f.begin)
}

func (s *faultScheduler) add(at time.Duration, kind string, command []string) {
	s.steps = append(s.steps, step{after: at - s.last, kind: kind, command: command, active: len(s.active)})
	s.last = at
}

// draw returns a fault of a kind that is not active, whose target has no other fault.
func (s *faultScheduler) draw() fault {
	for {
		f := s.randomFault()
		conflicts := func(o fault) bool { return o.kind == f.kind || o.target == f.target }
		if !slices.ContainsFunc(s.active, conflicts) {
			return f
		}
	}
}

func (s *faultScheduler) randomFault() fault {
	victim := s.pick("dispatch-1", "dispatch-2", "dispatch-3", "lookup-2")
	other := s.pick("dispatch-1", "dispatch-2", "dispatch-3", "lookup-1", "lookup-2", "platform")
	if other == victim {
		other = "platform"
	}
	upstream := victim + ".upstream"
	pair := min(victim, other) + " " + max(victim, other)
	all := []fault{
		{kind: "crash", target: victim, begin: []string{"crash", victim}, end: []string{"restart", victim}},
		{kind: "pause", target: victim, begin: []string{"pause", victim}, end: []string{"resume", victim}},
		{kind: "pauseUpstream", target: upstream, begin: []string{"pause", upstream}, end: []string{"resume", upstream}},
		{kind: "cut", target: pair, begin: []string{"cut", victim, other}, end: []string{"heal", victim, other}},
		{kind: "drop", target: pair, begin: []string{"drop", victim, other}, end: []string{"heal", victim, other}},
		{kind: "mode", target: "platform", begin: []string{"mode", s.pick("down", "stale")}, end: []string{"mode", "up"}},
		{kind: "hosts", target: "hosts", begin: []string{"hosts", victim + "=" + s.pick("leaving", "gone")}, end: []string{"hosts"}},
		{kind: "shutdown", target: victim, begin: []string{"shutdown", victim}, end: []string{"restart", victim}},
	}
	return all[s.rand.IntN(len(all))]
}

// cmdMayhem carries out the schedule for SOAK_SEED, then waits until all hosts are ready. About ten times on the way it reports
// the memory of measuredHost and the faults so far.
func cmdMayhem(ts *testscript.TestScript, _ bool, _ []string) {
	length, err := time.ParseDuration(os.Getenv("SOAK"))
	ts.Check(err)
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	cmds := commands()
	counts, timeByActive := map[string]int{}, [maxFaults + 1]time.Duration{}
	started := time.Now()
	nextReport, active, lastChange := length/10, 0, started
	for _, s := range schedule(seed, length) {
		time.Sleep(s.after)
		timeByActive[active] += time.Since(lastChange)
		if s.active > active {
			counts[s.kind]++
		}
		active, lastChange = s.active, time.Now()
		fmt.Fprintf(ts.Stderr(), "%s %v\n", time.Since(started).Round(time.Millisecond), s.command)
		cmds[s.command[0]](ts, false, s.command[1:])
		if elapsed := time.Since(started); elapsed >= nextReport {
			fmt.Fprintf(os.Stderr, "soak %s: %s resident %d KB, faults %v, time with none to three on %v\n",
				elapsed.Round(time.Second), measuredHost, residentKB(ts, measuredHost), counts, timeByActive)
			nextReport += length / 10
		}
	}
	cmds["ready"](ts, false, []string{"dispatch-1", "dispatch-2", "dispatch-3", "lookup-1", "lookup-2"})
}

func TestSchedule(t *testing.T) {
	Convey("Up to three faults of different kinds are active together, each ends, and the same seed gives the same steps", t, func() {
		steps := schedule(7, time.Hour)
		active, maxActive := 0, 0
		for _, s := range steps {
			So(s.after, ShouldBeGreaterThanOrEqualTo, 0)
			So(s.active-active, ShouldBeIn, -1, 1)
			active = s.active
			maxActive = max(maxActive, active)
		}
		So(active, ShouldEqual, 0)
		So(maxActive, ShouldEqual, maxFaults)
		So(schedule(7, time.Hour), ShouldResemble, steps)
	})
}
