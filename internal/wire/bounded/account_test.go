package bounded

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var (
	testLimits = Limits{Total: 100 << 20, Each: 60 << 20, Small: 8 << 20}
	host       = netip.MustParseAddr("10.0.0.1")
	otherHost  = netip.MustParseAddr("10.0.0.2")
	nobody     netip.Addr
)

// TestAccountBounds guards against messages that take the process beyond its memory, each purpose within a bound of its own.
func TestAccountBounds(t *testing.T) {
	Convey("One purpose takes its share, all together take no more than there is", t, func() {
		a := NewAccount(testLimits)
		_, ok := a.TryTake(CallerRequest, 61<<20)
		So(ok, ShouldBeFalse)
		first, ok := a.TryTake(CallerRequest, 60<<20)
		So(ok, ShouldBeTrue)
		_, ok = a.TryTake(PeerRequest, 41<<20)
		So(ok, ShouldBeFalse)
		_, ok = a.TryTake(PeerRequest, 40<<20)
		So(ok, ShouldBeTrue)
		first.Release()
		first.Release()
		So(a.Held(), ShouldEqual, 40<<20)
		So(a.Usage(CallerRequest).Refusals, ShouldEqual, 1)
	})
	Convey("Requests of callers and of other daemons have a bound together, if it is set", t, func() {
		a := NewAccount(Limits{Total: 100 << 20, Each: 60 << 20, Requests: 60 << 20, Small: 8 << 20})
		_, ok := a.TryTake(CallerRequest, 30<<20)
		So(ok, ShouldBeTrue)
		_, ok = a.TryTake(PeerRequest, 31<<20)
		So(ok, ShouldBeFalse)
		_, ok = a.TryTake(InstanceResponse, 60<<20)
		So(ok, ShouldBeTrue)
	})
	Convey("Small messages have room while large ones take all of theirs, and the other way round", t, func() {
		a := NewAccount(testLimits)
		a.Take(CallerResponse, nobody, 200<<20)
		_, ok := a.TryTake(CallerRequest, SmallBytes)
		So(ok, ShouldBeTrue)
		a = NewAccount(testLimits)
		a.Take(CallerResponse, nobody, 0)
		for range testLimits.Small / SmallBytes {
			a.Take(InstanceResponse, nobody, SmallBytes)
		}
		_, ok = a.TryTake(CallerRequest, 1)
		So(ok, ShouldBeFalse)
		_, ok = a.TryTake(CallerRequest, SmallBytes+1)
		So(ok, ShouldBeTrue)
	})
	Convey("What a message of unknown length takes grows with it", t, func() {
		a := NewAccount(testLimits)
		h, ok := a.TryTake(CallerRequest, 0)
		So(ok, ShouldBeTrue)
		So(h.TryResize(SmallBytes), ShouldBeTrue)
		So(h.TryResize(60<<20), ShouldBeTrue)
		So(h.TryResize(60<<20+1), ShouldBeFalse)
		So(h.Bytes(), ShouldEqual, 60<<20)
		h.Release()
		So(h.TryResize(1), ShouldBeFalse)
		So(a.Held(), ShouldEqual, 0)
	})
}

// TestLargeHeads guards against the heads of an instance in trouble that take the room of small messages, or that are never given back.
func TestLargeHeads(t *testing.T) {
	Convey("Heads have a part of one purpose's memory, and nothing of that of small messages", t, func() {
		a := NewAccount(testLimits)
		taken := 0
		for {
			if _, ok := a.TryTake(ResponseHead, SmallBytes); !ok {
				break
			}
			taken += SmallBytes
		}
		So(taken, ShouldEqual, testLimits.Each/headDivisor)
		_, ok := a.TryTake(ResponseHead, 1)
		So(ok, ShouldBeFalse)
		for range testLimits.Small / SmallBytes {
			_, ok := a.TryTake(PeerRequest, SmallBytes)
			So(ok, ShouldBeTrue)
		}
	})
	Convey("Holds that are joined are released together, once", t, func() {
		a := NewAccount(testLimits)
		head, _ := a.TryTake(ResponseHead, 100<<10)
		body, _ := a.TryTake(InstanceResponse, 1<<20)
		So(body.Join(head), ShouldEqual, body)
		So(a.Held(), ShouldEqual, 1<<20+100<<10)
		body.Release()
		body.Release()
		head.Release()
		So(a.Held(), ShouldEqual, 0)
		alone, _ := a.TryTake(ResponseHead, 100<<10)
		var noBody *Hold
		So(noBody.Join(alone), ShouldEqual, alone)
		So(alone.Join(nil), ShouldEqual, alone)
		alone.Release()
		So(a.Held(), ShouldEqual, 0)
	})
}

// TestAccountOrder guards against a large message that waits forever since smaller ones take each room that becomes free, and against one receiver that
// doesn't read and takes the room of all others.
func TestAccountOrder(t *testing.T) {
	granted := func(a *Account, p Purpose, to netip.Addr, bytes int64) *bool {
		done := false
		a.Request(p, to, bytes, func(*Hold) { done = true })
		return &done
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A waiter is not overtaken by those that come later for the same room", t, func() {
			a := NewAccount(testLimits)
			held, _ := a.TryTake(PeerRequest, 50<<20)
			large := granted(a, PeerRequest, nobody, 55<<20)
			later := granted(a, PeerRequest, nobody, 5<<20)
			other := granted(a, InstanceResponse, nobody, 30<<20)
			So([]bool{*large, *later, *other}, ShouldResemble, []bool{false, false, true})
			held.Release()
			synctest.Wait()
			So([]bool{*large, *later}, ShouldResemble, []bool{true, true})
			So(a.Usage(PeerRequest).Waits, ShouldEqual, 2)
		})
	})
	Convey("What daemons tell each other waits for nobody", t, func() {
		a := NewAccount(testLimits)
		a.Take(PeerRequest, nobody, 50<<20)
		waits := granted(a, InstanceResponse, nobody, 55<<20)
		list := granted(a, FleetMessage, nobody, 5<<20)
		So([]bool{*waits, *list}, ShouldResemble, []bool{false, true})
	})
	Convey("A request that need not wait leaves its room to one that waits", t, func() {
		a := NewAccount(testLimits)
		a.Take(PeerRequest, nobody, 50<<20)
		waits := granted(a, InstanceResponse, nobody, 55<<20)
		_, ok := a.TryTake(CallerRequest, 10<<20)
		So(*waits || ok, ShouldBeFalse)
	})
	Convey("A receiver that doesn't read has its share only", t, func() {
		a := NewAccount(testLimits)
		first := granted(a, InstanceResponse, host, 25<<20)
		second := granted(a, InstanceResponse, host, 25<<20)
		toOther := granted(a, InstanceResponse, otherHost, 25<<20)
		So([]bool{*first, *second, *toOther}, ShouldResemble, []bool{true, false, true})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A wait ends with its context, and blocks nobody after that", t, func() {
			a := NewAccount(testLimits)
			a.Take(PeerRequest, nobody, 50<<20)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			later := false
			go func() {
				time.Sleep(time.Millisecond)
				a.Request(PeerRequest, nobody, 5<<20, func(*Hold) { later = true })
			}()
			_, err := a.Await(ctx, PeerRequest, nobody, 55<<20)
			So(err, ShouldEqual, context.DeadlineExceeded)
			synctest.Wait()
			So(later, ShouldBeTrue)
			_, err = a.Await(ctx, PeerRequest, nobody, 61<<20)
			So(err, ShouldEqual, ErrNeverFits)
		})
	})
	Convey("A large message waits until what was released before is collected", t, func() {
		a := NewAccount(testLimits)
		for range 10 {
			h, err := a.Await(t.Context(), PeerRequest, nobody, 60<<20)
			So(err, ShouldBeNil)
			a.mu.Lock()
			So(a.large+a.garbage, ShouldBeLessThanOrEqualTo, testLimits.Total)
			a.mu.Unlock()
			h.Release()
		}
	})
}

// TestSmallMessagesDoNotCollect guards against small requests that pay for large ones: each would wait for a collection while garbage of large messages
// occupies the memory.
func TestSmallMessagesDoNotCollect(t *testing.T) {
	Convey("Garbage stays until a large message needs its memory", t, func() {
		a := NewAccount(testLimits)
		request, _ := a.TryTake(PeerRequest, 60<<20)
		a.Take(InstanceResponse, nobody, 50<<20)
		request.Release()
		before := a.garbage
		_, ok := a.TryTake(CallerRequest, 1000)
		So(ok, ShouldBeTrue)
		So(a.garbage, ShouldEqual, before)
		So(before, ShouldBeGreaterThan, 0)
		_, ok = a.TryTake(CallerRequest, 50<<20)
		So(ok, ShouldBeTrue)
		So(a.garbage, ShouldBeLessThan, before)
	})
}

// TestAccountProperties plays random holds, waits, withdrawals and releases: the bounds hold at each moment, nothing stays counted, and once all is
// released nobody waits.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(testLimits)
		var held []*Hold
		var waiters []*Waiter
		grants := make(chan *Hold, 1000)
		drain := func() {
			for {
				select {
				case h := <-grants:
					held = append(held, h)
				default:
					return
				}
			}
		}
		sizes := rapid.OneOf(rapid.Int64Range(0, SmallBytes), rapid.Int64Range(SmallBytes+1, testLimits.Each))
		purposes := rapid.SampledFrom([]Purpose{CallerRequest, PeerRequest, InstanceResponse, CallerResponse})
		hosts := rapid.SampledFrom([]netip.Addr{nobody, host, otherHost})
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				if h, ok := a.TryTake(purposes.Draw(t, "purpose"), sizes.Draw(t, "size")); ok {
					held = append(held, h)
				}
			},
			"request": func(t *rapid.T) {
				waiters = append(waiters, a.Request(purposes.Draw(t, "purpose"), hosts.Draw(t, "host"), sizes.Draw(t, "size"), func(h *Hold) { grants <- h }))
			},
			"resize": func(t *rapid.T) {
				if drain(); len(held) > 0 {
					held[rapid.IntRange(0, len(held)-1).Draw(t, "hold")].TryResize(sizes.Draw(t, "size"))
				}
			},
			"release": func(t *rapid.T) {
				if drain(); len(held) > 0 {
					held[rapid.IntRange(0, len(held)-1).Draw(t, "hold")].Release()
				}
			},
			"cancel": func(t *rapid.T) {
				if len(waiters) > 0 {
					waiters[rapid.IntRange(0, len(waiters)-1).Draw(t, "waiter")].Cancel()
				}
			},
			"": func(t *rapid.T) {
				a.mu.Lock()
				defer a.mu.Unlock()
				if a.large > testLimits.Total || a.small > testLimits.Small {
					t.Fatalf("%d large and %d small bytes held", a.large, a.small)
				}
				for p := range a.usage {
					if a.usage[p].large > testLimits.Each {
						t.Fatalf("%d bytes held for %s", a.usage[p].large, Purpose(p))
					}
				}
			},
		})
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			drain()
			for _, h := range held {
				h.Release()
			}
			held = nil
			a.mu.Lock()
			waiting, left := len(a.waiting), a.large+a.small
			a.mu.Unlock()
			if waiting == 0 && left == 0 && len(grants) == 0 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d wait and %d bytes are held though all is released", waiting, left)
			}
		}
	})
}
