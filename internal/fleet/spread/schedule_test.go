package spread

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

func TestFleetStartsAsAWhole(t *testing.T) {
	// Power comes back and every daemon starts with nothing. Were each to wait
	// for a peer that takes callers, none ever would.
	Convey("A fleet that starts at once takes callers within seconds", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(1, 1)), 3, 4)
		n.startAll()
		So(n.behind(), ShouldBeEmpty)
		So(n.faults, ShouldBeEmpty)
	})
}

func TestChangeReachesEveryone(t *testing.T) {
	// The operators withdraw a key. Were one daemon forgotten by the push, the key
	// would go on working there until somebody happened to tell it.
	Convey("A change is in force at every daemon within 3 s, with a twentieth of all messages lost", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(2, 2)), 6, 20)
		n.startAll()
		n.loss = 0.05
		for range 5 {
			n.publish(lists.KindKeys, fmt.Sprintf("keys without number %d", n.newest[lists.KindKeys].Version))
			n.advance(3 * time.Second)
			So(n.behind(), ShouldBeEmpty)
		}
		So(n.faults, ShouldBeEmpty)
	})
}

func TestStartWithoutAnyWord(t *testing.T) {
	cases := []struct {
		name     string
		platform string
		peers    bool
		seeds    int
		others   int
		want     Standing
	}{
		{"neither platform nor peers answer", "down", false, 2, 5, Starting},
		{"only the platform answers, which may be stale", "up", false, 2, 5, Starting},
		{"the platform answers and the host list names nobody else", "up", false, 0, 0, Serving},
		{"only peers answer", "down", true, 2, 5, Serving},
		{"only peers answer, and it knows none of them", "down", true, 0, 5, Starting},
		{"both answer", "up", true, 0, 5, Serving},
	}
	// A host restarts while the platform is down, or serves a replica that is hours
	// old. Taking callers then would let a withdrawn key work again.
	Convey("A daemon without memory takes callers only on a word that speaks for its versions", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				n := newNetwork(rand.New(rand.NewPCG(3, 3)), 2, 3)
				n.startAll()
				if c.others == 0 {
					n.hosts = n.hosts[:1]
				}
				late := n.nodes["h0"]
				late.stop()
				n.advance(time.Second)
				n.apart = func(a, b string) bool { return !c.peers && (a == "h0" || b == "h0") }
				n.down[late.host.Zone] = c.platform == "down"
				for _, h := range n.hosts[1:min(1+c.seeds, len(n.hosts))] {
					late.seeds = append(late.seeds, h.Peer)
				}
				late.start()
				n.advance(30 * time.Second)
				standing, _ := late.core.Standing()
				So(standing, ShouldEqual, c.want)
				So(n.faults, ShouldBeEmpty)
			})
		}
	})
}

func TestStalePlatformAtRestart(t *testing.T) {
	// A key is withdrawn, then the platform falls back to an old replica, and a
	// host restarts. The old value is all that the platform has for it.
	Convey("A restarted daemon takes callers only with what its peers have in force", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(4, 4)), 3, 3)
		n.startAll()
		old := n.served
		n.publishAll()
		n.advance(3 * time.Second)
		n.served, n.stale = old, true
		for _, host := range []string{"h0", "h4", "h8"} {
			n.nodes[host].stop()
			n.nodes[host].start()
			n.advance(6 * time.Second)
		}
		So(n.behind(), ShouldBeEmpty)
		So(n.faults, ShouldBeEmpty)
	})
}

func TestWakingLate(t *testing.T) {
	// A virtual machine is stopped for a while, and a key is withdrawn meanwhile.
	// The first callers after it goes on must not find the old list in force.
	Convey("A process that was paused takes no callers until it has asked again", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(5, 5)), 3, 3)
		n.startAll()
		late := n.nodes["h1"]
		late.pause()
		n.publishAll()
		n.advance(10 * time.Second)
		late.resume()
		So(late.takes(), ShouldBeFalse)
		n.advance(2 * time.Second)
		So(n.behind(), ShouldBeEmpty)
		So(n.faults, ShouldBeEmpty)
	})
}

func TestCutOffFromAll(t *testing.T) {
	// A host loses its network towards peers and platform, but callers still reach
	// it. What it holds grows older by the second.
	Convey("A daemon that nobody answers goes on for the isolation time, and again after the first answer", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(6, 6)), 3, 3)
		n.startAll()
		cut := n.nodes["h2"]
		n.apart = func(a, b string) bool { return a == "h2" || b == "h2" }
		n.down[cut.host.Zone] = true
		n.advance(50 * time.Second)
		So(cut.takes(), ShouldBeTrue)
		n.advance(15 * time.Second)
		So(cut.takes(), ShouldBeFalse)
		n.apart = func(string, string) bool { return false }
		n.advance(3 * time.Second)
		So(n.behind(), ShouldBeEmpty)
	})
	Convey("An outage of the platform alone stops nobody", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(7, 7)), 3, 3)
		n.startAll()
		n.down["z0"], n.down["z1"], n.down["z2"] = true, true, true
		n.advance(10 * time.Minute)
		So(n.behind(), ShouldBeEmpty)
		So(n.reads, ShouldBeLessThan, 9*lists.Kinds*10*60/5)
	})
}

func TestRejectedValue(t *testing.T) {
	// An operator publishes a list with a slip in it. It must neither hold up the
	// mended one nor be asked for over and over.
	Convey("A rejected version is passed over, and the next one comes in force", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(8, 8)), 3, 3)
		n.startAll()
		n.publish(lists.KindKeys, "bad value")
		n.advance(10 * time.Second)
		So(n.behind(), ShouldBeEmpty)
		n.publish(lists.KindKeys, "mended value")
		n.advance(3 * time.Second)
		So(n.behind(), ShouldBeEmpty)
		So(n.faults, ShouldBeEmpty)
	})
}

func TestRejectedHere(t *testing.T) {
	// Two releases of the daemon run side by side during an upgrade, and the newer
	// one accepts a list that the older one doesn't. Each digest of the newer one
	// names a version that the older one can't use.
	Convey("A version that was rejected is fetched once and not again", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(10, 10)), 3, 3)
		n.startAll()
		n.nodes["h0"].lenient = true
		n.down["z1"], n.down["z2"] = true, true
		n.publish(lists.KindKeys, "bad value")
		n.advance(time.Minute)
		for _, h := range n.hosts[1:] {
			So(n.nodes[h.Host].tried["keys/2"], ShouldBeLessThanOrEqualTo, 1)
		}
		n.publish(lists.KindKeys, "mended value")
		n.advance(3 * time.Second)
		So(n.behind(), ShouldBeEmpty)
	})
}

func TestAnswersFromBeforeAPause(t *testing.T) {
	// A process is stopped with answers of its peers unread in its buffers. They
	// were true when they were written, minutes ago.
	Convey("Only answers to questions asked since the pause confirm anything", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(11, 11)), 3, 3)
		n.startAll()
		core, sent := n.nodes["h0"].core, n.now
		woke := sent.Add(time.Minute)
		_ = core.Tick(woke, func(string) bool { return false })
		for _, h := range n.hosts[1:5] {
			core.Answer(h.Peer, Digest{Host: h.Host, Ready: true, Age: -1}, sent, woke)
		}
		standing, _ := core.Standing()
		So(standing, ShouldEqual, Waking)
		for _, h := range n.hosts[1:3] {
			core.Answer(h.Peer, Digest{Host: h.Host, Ready: true, Age: -1}, woke, woke)
		}
		standing, _ = core.Standing()
		So(standing, ShouldEqual, Serving)
	})
}

func TestNewerVersionIsHeardOf(t *testing.T) {
	// A daemon starts, and one of the peers that answer has a newer version than
	// it. Until that has arrived a key that it withdraws would still work here.
	Convey("A daemon takes no callers while a newer version than its own is on the way", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(12, 12)), 3, 3)
		n.startAll()
		core, now := n.nodes["h0"].core, n.now.Add(time.Minute)
		_ = core.Tick(now, func(string) bool { return false })
		newer := n.nodes["h0"].digest().Versions
		newer[lists.KindKeys]++
		for _, h := range n.hosts[1:5] {
			core.Answer(h.Peer, Digest{Host: h.Host, Ready: true, Versions: newer, Age: -1}, now, now)
		}
		standing, _ := core.Standing()
		So(standing, ShouldEqual, Waking)
		core.Accepted(lists.KindKeys, newer[lists.KindKeys], now, func(string) bool { return false })
		standing, _ = core.Standing()
		So(standing, ShouldEqual, Serving)
	})
}

func TestPeerVanishesWithANewerVersion(t *testing.T) {
	// A peer tells of a new version and is gone before it has handed it over, for
	// good. Asking for it without end would cost a message every second for each such peer,
	// and a daemon that starts would wait for it forever.
	Convey("A version that nobody has any more is given up", t, func() {
		n := newNetwork(rand.New(rand.NewPCG(14, 14)), 3, 3)
		n.startAll()
		core, now := n.nodes["h0"].core, n.now.Add(time.Minute)
		none := func(string) bool { return false }
		_ = core.Tick(now, none)
		newer := n.nodes["h0"].digest().Versions
		newer[lists.KindKeys]++
		core.Answer(n.hosts[1].Peer, Digest{Host: "h1", Ready: true, Versions: newer, Age: -1}, now, now)
		fetches := 0
		for range 1200 {
			now = now.Add(tickEvery)
			fetches += len(core.Tick(now, none).Fetch)
		}
		So(fetches, ShouldBeBetween, 3, 20)
		core.Answer(n.hosts[2].Peer, Digest{Host: "h2", Ready: true, Age: -1}, now, now)
		standing, _ := core.Standing()
		So(standing, ShouldEqual, Serving)
	})
}

// step is one event of a random schedule.
type step struct {
	what string
	host int
	wait time.Duration
}

func drawStep(t *rapid.T, hosts int) step {
	return step{
		what: rapid.SampledFrom([]string{"publish", "publish", "bad", "pause", "resume", "stop", "start", "restart", "restart", "cut", "heal", "down", "up", "stale", "stale", "fresh"}).Draw(t, "what"),
		host: rapid.IntRange(1, hosts-1).Draw(t, "host"),
		wait: time.Duration(rapid.IntRange(0, 8000).Draw(t, "waitMs")) * time.Millisecond,
	}
}

func (s step) apply(n *network) {
	d := n.nodes[n.hosts[s.host].Host]
	switch s.what {
	case "publish":
		n.publishAll()
	case "bad":
		if k := lists.KindUses; !bad(n.newest[k]) {
			n.publish(k, "bad value")
		}
	case "pause":
		d.pause()
	case "resume":
		d.resume()
	case "stop":
		d.stop()
	case "start", "restart":
		if !d.alive || s.what == "restart" {
			d.start()
		}
	case "cut":
		side := s.host
		n.apart = func(a, b string) bool { return inPart(a, side) != inPart(b, side) }
		n.rejoined = n.now
	case "heal":
		n.apart = func(string, string) bool { return false }
		n.rejoined = n.now
	case "down":
		n.down[d.host.Zone] = true
	case "up":
		n.down = map[string]bool{}
	case "stale":
		n.stale = true
	case "fresh":
		n.stale, n.served = false, n.newest
	}
}

// inPart splits the fleet in two parts that differ from cut to cut.
func inPart(host string, side int) bool {
	var i int
	_, _ = fmt.Sscanf(host, "h%d", &i)
	return (i+side)%4 == 0
}

// The draws are the same on each run; -rapid.seed and -rapid.checks look further.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestRandomSchedules(t *testing.T) {
	// Any of the faults may come at any moment, together or twice. Whatever came
	// before, a daemon that begins to take callers must hold what those in its reach have long had in force, and
	// once the faults are over all must agree.
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9)), 3, 3)
		n.startAll()
		n.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		var least [lists.Kinds]map[string]uint64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := drawStep(t, len(n.hosts))
			s.apply(n)
			n.advance(s.wait)
			checkGrowth(t, n, &least)
		}
		n.loss, n.stale = 0, false
		n.publishAll()
		n.down = map[string]bool{}
		n.apart = func(string, string) bool { return false }
		n.rejoined = n.now
		for _, h := range n.hosts {
			if d := n.nodes[h.Host]; d.alive {
				d.resume()
			} else {
				d.start()
			}
		}
		n.advance(15 * time.Second)
		if behind := n.behind(); len(behind) > 0 {
			t.Fatalf("not converged: %v", behind)
		}
		if len(n.faults) > 0 {
			t.Fatalf("faults: %v", n.faults)
		}
	})
}

// checkGrowth fails if a version fell within one life of a process.
func checkGrowth(t *rapid.T, n *network, least *[lists.Kinds]map[string]uint64) {
	for k := range lists.Kinds {
		if least[k] == nil {
			least[k] = map[string]uint64{}
		}
		for name, d := range n.nodes {
			life := fmt.Sprintf("%s/%d", name, d.incarnation)
			if d.have[k].Version < least[k][life] {
				t.Fatalf("%s fell from %d to %d", life, least[k][life], d.have[k].Version)
			}
			least[k][life] = d.have[k].Version
		}
	}
}
