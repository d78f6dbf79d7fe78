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
	// probe is a host that is never restarted, so that its memory tells.
	probe = "lookup-1"
	// mostFaults are on at the same time, each of another kind.
	mostFaults = 3
)

// fault is something that goes wrong for a while; faults on one target come one after another.
type fault struct {
	kind   string
	target string
	begin  []string
	end    []string
	until  time.Duration
}

// step begins or ends a fault so long after the step before it.
type step struct {
	after   time.Duration
	kind    string
	command []string
	// on is how many faults are on after it.
	on int
}

// mayhem draws faults that overlap. The order of the steps follows from the seed alone.
type mayhem struct {
	rand  *rand.Rand
	now   time.Duration
	last  time.Duration
	on    []fault
	steps []step
}

// schedule returns the steps for a length of time; all faults have ended after the last one.
func schedule(seed uint64, length time.Duration) []step {
	m := &mayhem{rand: rand.New(rand.NewPCG(seed, seed))}
	for m.now < length {
		m.endUntil(m.now)
		if len(m.on) == mostFaults {
			m.now = m.first().until
			m.endUntil(m.now)
		}
		m.begin(m.draw())
		m.now += m.while()
	}
	for len(m.on) > 0 {
		m.endUntil(m.first().until)
	}
	return m.steps
}

func (m *mayhem) pick(names ...string) string { return names[m.rand.IntN(len(names))] }

func (m *mayhem) while() time.Duration {
	return time.Duration(200+m.rand.IntN(1500)) * time.Millisecond
}

// longShare is the share of faults, one in so many, that last longer than leases, digests and suspicion take.
const longShare = 4

func (m *mayhem) length() time.Duration {
	if m.rand.IntN(longShare) == 0 {
		return 4 * m.while()
	}
	return m.while()
}

func (m *mayhem) first() fault {
	return slices.MinFunc(m.on, func(a, b fault) int { return int(a.until - b.until) })
}

func (m *mayhem) endUntil(now time.Duration) {
	for len(m.on) > 0 && m.first().until <= now {
		f := m.first()
		m.on = slices.DeleteFunc(m.on, func(o fault) bool { return o.kind == f.kind })
		m.add(f.until, f.kind, f.end)
	}
}

func (m *mayhem) begin(f fault) {
	f.until = m.now + m.length()
	m.on = append(m.on, f)
	m.add(m.now, f.kind, f.begin)
}

func (m *mayhem) add(at time.Duration, kind string, command []string) {
	m.steps = append(m.steps, step{after: at - m.last, kind: kind, command: command, on: len(m.on)})
	m.last = at
}

// draw returns a fault of a kind that is not on, whose target has no other fault.
func (m *mayhem) draw() fault {
	for {
		f := m.fault()
		free := func(o fault) bool { return o.kind == f.kind || o.target == f.target }
		if !slices.ContainsFunc(m.on, free) {
			return f
		}
	}
}

func (m *mayhem) fault() fault {
	victim := m.pick("dispatch-1", "dispatch-2", "dispatch-3", "lookup-2")
	other := m.pick("dispatch-1", "dispatch-2", "dispatch-3", "lookup-1", "lookup-2", "platform")
	if other == victim {
		other = "platform"
	}
	up := victim + ".upstream"
	pair := min(victim, other) + " " + max(victim, other)
	all := []fault{
		{kind: "crash", target: victim, begin: []string{"crash", victim}, end: []string{"restart", victim}},
		{kind: "pause", target: victim, begin: []string{"pause", victim}, end: []string{"resume", victim}},
		{kind: "pauseUpstream", target: up, begin: []string{"pause", up}, end: []string{"resume", up}},
		{kind: "cut", target: pair, begin: []string{"cut", victim, other}, end: []string{"heal", victim, other}},
		{kind: "drop", target: pair, begin: []string{"drop", victim, other}, end: []string{"heal", victim, other}},
		{kind: "mode", target: "platform", begin: []string{"mode", m.pick("down", "stale")}, end: []string{"mode", "up"}},
		{kind: "hosts", target: "hosts", begin: []string{"hosts", victim + "=" + m.pick("leaving", "gone")}, end: []string{"hosts"}},
		{kind: "shutdown", target: victim, begin: []string{"shutdown", victim}, end: []string{"restart", victim}},
	}
	return all[m.rand.IntN(len(all))]
}

func cmdMayhem(ts *testscript.TestScript, _ bool, _ []string) {
	length, err := time.ParseDuration(os.Getenv("SOAK"))
	ts.Check(err)
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	cmds := commands()
	counts, together := map[string]int{}, [mostFaults + 1]time.Duration{}
	begun := time.Now()
	next, on, since := length/10, 0, begun
	for _, s := range schedule(seed, length) {
		time.Sleep(s.after)
		together[on] += time.Since(since)
		if s.on > on {
			counts[s.kind]++
		}
		on, since = s.on, time.Now()
		fmt.Fprintf(ts.Stderr(), "%s %v\n", time.Since(begun).Round(time.Millisecond), s.command)
		cmds[s.command[0]](ts, false, s.command[1:])
		if elapsed := time.Since(begun); elapsed >= next {
			fmt.Fprintf(os.Stderr, "soak %s: %s resident %d KB, faults %v, time with none to three on %v\n",
				elapsed.Round(time.Second), probe, resident(ts, probe), counts, together)
			next += length / 10
		}
	}
	cmds["ready"](ts, false, []string{"dispatch-1", "dispatch-2", "dispatch-3", "lookup-1", "lookup-2"})
}

func TestSchedule(t *testing.T) {
	Convey("Up to three faults of different kinds are on together, each ends, and a seed gives the same order again", t, func() {
		steps := schedule(7, time.Hour)
		on, most := 0, 0
		for _, s := range steps {
			So(s.after, ShouldBeGreaterThanOrEqualTo, 0)
			So(s.on-on, ShouldBeIn, -1, 1)
			on = s.on
			most = max(most, on)
		}
		So(on, ShouldEqual, 0)
		So(most, ShouldEqual, mostFaults)
		So(schedule(7, time.Hour), ShouldResemble, steps)
	})
}
