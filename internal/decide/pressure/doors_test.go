package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

// drive sends a request each millisecond through the doors to a service that is
// reached and answers after 10 ms; it returns the shares that went on and that succeeded.
func drive(d *Throttles, from time.Time, length time.Duration, succeeds func() bool) (sent, done float64) {
	type due struct {
		at       time.Time
		pressure float64
	}
	var waiting []due
	total := 0.0
	for now := from; now.Before(from.Add(length)); now = now.Add(ms) {
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			d.Report(now, "o", "op", waiting[0].pressure, 50*ms)
			waiting = waiting[1:]
		}
		total++
		if _, ok := d.Admit(now, "o", "op"); !ok {
			continue
		}
		sent++
		pressure := 1.0
		if succeeds() {
			done++
			pressure = 0
		}
		waiting = append(waiting, due{now.Add(10 * ms), pressure})
	}
	return sent / total, done / total
}

func TestDoors(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	start := time.Unix(0, 0)
	none := func() bool { return false }
	all := func() bool { return true }
	threeInFive := func() bool { return random.IntN(5) < 3 }
	Convey("Nothing is refused while all is well", t, func() {
		d := New(WithRand(random.Float64))
		sent, _ := drive(d, start, 5*time.Second, all)
		So(sent, ShouldEqual, 1)
		So(d.Len(), ShouldEqual, 0)
	})
	Convey("Work that would fail deep down is refused before anything is spent, but for trials", t, func() {
		d := New(WithRand(random.Float64))
		drive(d, start, time.Second, none)
		sent, _ := drive(d, start.Add(time.Second), 5*time.Second, none)
		So(sent, ShouldBeBetween, 0.001, 0.05)
	})
	Convey("Rare refusals close nothing", t, func() {
		d := New(WithRand(random.Float64))
		_, done := drive(d, start, 5*time.Second, func() bool { return random.IntN(5) > 0 })
		So(done, ShouldBeGreaterThan, 0.75)
	})
	Convey("Failures of two in five, however much is sent, close nothing", t, func() {
		d := New(WithRand(random.Float64))
		_, done := drive(d, start, 5*time.Second, threeInFive)
		So(done, ShouldBeGreaterThan, 0.5)
	})
	Convey("Within 2 s of the end of the trouble 95% is let through, and then all", t, func() {
		d := New(WithRand(random.Float64))
		drive(d, start, 5*time.Second, none)
		drive(d, start.Add(5*time.Second), 1500*ms, all)
		sent, _ := drive(d, start.Add(6500*ms), 500*ms, all)
		So(sent, ShouldBeGreaterThan, 0.95)
		drive(d, start.Add(7*time.Second), 3*time.Second, all)
		So(d.Len(), ShouldEqual, 0)
	})
	Convey("One organisation's refusals close no other's door", t, func() {
		d := New(WithRand(random.Float64))
		drive(d, start, time.Second, none)
		_, ok := d.Admit(start.Add(time.Second), "other", "op")
		So(ok, ShouldBeTrue)
	})
	Convey("A refused caller is told when to come back, spread around what the service said", t, func() {
		d := New(WithRand(random.Float64))
		drive(d, start, time.Second, none)
		seen := map[time.Duration]bool{}
		for range 100 {
			if back, ok := d.Admit(start.Add(time.Second), "o", "op"); !ok {
				So(back, ShouldBeBetweenOrEqual, 37*ms, 63*ms)
				seen[back] = true
			}
		}
		So(len(seen), ShouldBeGreaterThan, 10)
	})
	Convey("The doors are bounded", t, func() {
		d := New()
		for i := range 3 * most {
			d.Report(start, "o", string(rune(i)), 1, 0)
		}
		So(d.Len(), ShouldBeLessThanOrEqualTo, most)
	})
}

// A maker sends a batch of exports at once, more than the queue holds, and the
// rest is refused. The service works off what it took and is idle. A door that
// still counts the refusals then, or takes a burst without answers for failures,
// refuses part of the next batch: the maker is told that an idle service is
// overloaded, as often as it comes after a pause.
func TestBurstAfterFlood(t *testing.T) {
	cases := []struct {
		name string
		// asked at once, of which so many succeed, four at a time each 50 ms.
		asked, succeed int
		pause          time.Duration
		burst          int
	}{
		{"at once", 60, 12, 0, 8},
		{"a little later", 60, 12, 150 * ms, 8},
		{"after the memory has faded", 60, 12, 800 * ms, 8},
		{"long after", 60, 12, time.Minute, 8},
		{"far more at once", 60, 12, 800 * ms, 500},
		{"where nothing succeeded", 60, 0, time.Second, 8},
		{"of a rare caller", 5, 0, time.Second, 8},
		{"of a large flood", 2000, 20, 0, 8},
	}
	for _, c := range cases {
		Convey("The next burst is let in, "+c.name, t, func() {
			random := rand.New(rand.NewPCG(5, 6))
			d := New(WithRand(random.Float64))
			now := time.Unix(0, 0)
			for range c.asked {
				d.Admit(now, "o", "op")
			}
			for range c.asked - c.succeed {
				d.Report(now.Add(ms), "o", "op", 1, 50*ms)
			}
			for i := range c.succeed {
				if i%4 == 0 {
					now = now.Add(50 * ms)
				}
				d.Report(now, "o", "op", 0, 0)
			}
			now = now.Add(c.pause)
			refused := 0
			for range c.burst {
				if _, ok := d.Admit(now, "o", "op"); !ok {
					refused++
				}
			}
			So(refused, ShouldEqual, 0)
		})
	}
	Convey("Requests that a door turned away don't keep it shut after the trouble", t, func() {
		random := rand.New(rand.NewPCG(5, 6))
		d := New(WithRand(random.Float64))
		drive(d, time.Unix(0, 0), time.Second, func() bool { return false })
		refused := 0
		for range 8 {
			if _, ok := d.Admit(time.Unix(2, 0), "o", "op"); !ok {
				refused++
			}
		}
		So(refused, ShouldEqual, 0)
	})
}
