package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// confirmingCore is the core of one host of nine, at the given time, without replies yet. It has a version of every list.
func confirmingCore(standing Standing, now time.Time) (*Core, Versions) {
	n := newNetwork(rand.New(rand.NewPCG(15, 15)), 3, 3)
	core := New(Config{Host: "h0", Zone: "z0", Region: "r0", Watch: watchLength}, rand.New(rand.NewPCG(1, 1)), now)
	core.SetHosts(n.hosts)
	var versions Versions
	for k := range lists.Kinds {
		versions[k] = 4
		core.Accepted(lists.Kind(k), versions[k], now, skipNone)
	}
	core.startConfirming(standing, now)
	return core, versions
}

func skipNone(string) bool { return false }

// answerFrom passes replies of the peers with these numbers to digests that were sent at the given time.
func answerFrom(c *Core, versions Versions, ready bool, at time.Time, peers ...int) {
	for _, i := range peers {
		host := fmt.Sprintf("h%d", i)
		c.Answer(c.peerAddress(host), Digest{Host: host, Ready: ready, Versions: versions, Age: -1}, at, at)
	}
}

func standingOf(c *Core) Standing {
	standing, _ := c.Standing()
	return standing
}

// tickUntil ticks the core until the given time and returns it.
func tickUntil(c *Core, now, end time.Time) time.Time {
	for ; now.Before(end); now = now.Add(tickInterval) {
		c.Tick(now, skipNone)
	}
	return now
}

func TestPauseWhileConfirming(t *testing.T) {
	// A daemon has read its lists and one peer has replied when its process is paused for a minute. If that reply still
	// counted, a key withdrawn in that minute would be accepted as soon as the process resumes.
	Convey("Replies from before a pause don't confirm the lists of a daemon that isn't serving yet", t, func() {
		for _, standing := range []Standing{Starting, Waking, Isolated} {
			Convey(standing.String(), func() {
				now := time.Unix(1_000_000, 0)
				core, versions := confirmingCore(standing, now)
				core.Tick(now, skipNone)
				answerFrom(core, versions, true, now, 1)
				resumedAt := now.Add(time.Minute)
				core.Tick(resumedAt, skipNone)
				So(standingOf(core), ShouldNotEqual, Serving)
				answerFrom(core, versions, true, resumedAt, 2)
				So(standingOf(core), ShouldNotEqual, Serving)
				answerFrom(core, versions, true, resumedAt, 3)
				So(standingOf(core), ShouldEqual, Serving)
			})
		}
	})
}

func TestRepliesExpire(t *testing.T) {
	// Two peers report a newer list and are partitioned away while the daemon fetches it, which takes it
	// 8 s. A key withdrawn in these seconds would be accepted if the replies still counted when the list arrives.
	Convey("Replies confirm the lists only for as long as a change may take to spread", t, func() {
		for _, standing := range []Standing{Starting, Waking, Isolated} {
			Convey(standing.String(), func() {
				now := time.Unix(1_000_000, 0)
				core, versions := confirmingCore(standing, now)
				versions[lists.KindKeys]++
				answerFrom(core, versions, true, now, 1, 2)
				now = tickUntil(core, now, now.Add(8*time.Second))
				core.Accepted(lists.KindKeys, versions[lists.KindKeys], now, skipNone)
				So(standingOf(core), ShouldEqual, standing)
				answerFrom(core, versions, true, now, 1, 2)
				So(standingOf(core), ShouldEqual, Serving)
			})
		}
	})
}

func TestPeersThatResumedTogether(t *testing.T) {
	// The machines of an availability zone are paused together while a key is withdrawn, and the other zones go on. If
	// daemons that resume confirmed each other's lists before they have asked the other zones, they would accept the key.
	Convey("Replies of peers that take no callers don't confirm lists before all peers were asked or the grace period has passed", t, func() {
		for _, platform := range []bool{false, true} {
			Convey(fmt.Sprintf("platform %t", platform), func() {
				now := time.Unix(1_000_000, 0)
				core, versions := confirmingCore(Waking, now)
				if platform {
					core.PlatformAnswered(now, now, true)
				}
				answerFrom(core, versions, false, now, 3, 4, 6)
				So(standingOf(core), ShouldEqual, Waking)
				Convey("a peer that takes callers reports the newer list", func() {
					newer := versions
					newer[lists.KindKeys]++
					answerFrom(core, newer, true, now, 1, 2)
					So(standingOf(core), ShouldEqual, Waking)
					core.Accepted(lists.KindKeys, newer[lists.KindKeys], now, skipNone)
					So(standingOf(core), ShouldEqual, Serving)
				})
				Convey("the fleet resumed as a whole", func() {
					answerFrom(core, versions, false, now, 1, 2, 5, 7)
					So(standingOf(core), ShouldEqual, Waking)
					answerFrom(core, versions, false, now, 8)
					So(standingOf(core), ShouldEqual, Serving)
				})
				Convey("the others don't answer within the grace period", func() {
					now = tickUntil(core, now, now.Add(confirmGrace))
					So(standingOf(core), ShouldEqual, Waking)
					core.Tick(now, skipNone)
					So(standingOf(core), ShouldEqual, Serving)
				})
			})
		}
	})
}

func TestZoneResumesTogether(t *testing.T) {
	// As above with all messages: the machines of a zone are paused for ten seconds, in which nothing reaches them, and a key
	// is withdrawn meanwhile. When they resume, the zone can't reach the platform.
	Convey("Hosts that resume together take callers only with the list that the other zones have in force", t, func() {
		for seed := range uint64(50) {
			n := newNetwork(rand.New(rand.NewPCG(seed, 16)), 3, 6)
			n.startAll()
			var paused []*node
			for _, h := range n.hosts {
				if h.Zone == "z0" {
					paused = append(paused, n.nodes[h.Host])
				}
			}
			for _, d := range paused {
				d.pause()
			}
			n.partitioned = func(a, b string) bool { return n.nodes[a].paused || n.nodes[b].paused }
			n.down["z0"] = true
			n.publishAll()
			n.advance(10 * time.Second)
			for _, d := range paused {
				d.resume()
			}
			n.advance(5 * time.Second)
			So(n.laggingNodes(), ShouldBeEmpty)
			So(n.faults, ShouldBeEmpty)
		}
	})
}
