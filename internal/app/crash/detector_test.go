package crash

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
)

// request is a request to the instance.
type request struct{ id string }

// crashingInstance is an instance that refuses connections once it has crashed, and says so after a while.
type crashingInstance struct {
	mu      sync.Mutex
	crashed bool
	checks  int
	reports [][]Suspect
}

// checkTime is how long the instance takes to refuse a connection or to accept it.
const checkTime = 5 * time.Millisecond

func (i *crashingInstance) refuses(context.Context) bool {
	time.Sleep(checkTime)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.checks++
	return i.crashed
}

func (i *crashingInstance) setCrashed(crashed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.crashed = crashed
}

func (i *crashingInstance) report(suspects []Suspect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports = append(i.reports, suspects)
}

func (i *crashingInstance) detector() *Detector[*request] {
	return NewDetector(i.refuses, func(req *request) Suspect {
		return Suspect{RequestID: req.id, Key: quarantine.Key{Route: "r"}}
	}, i.report)
}

// ids returns the requests that a report names.
func ids(suspects []Suspect) map[string]bool {
	named := map[string]bool{}
	for _, s := range suspects {
		named[s.RequestID] = true
	}
	return named
}

// TestDetector guards against crashes that aren't noticed or are reported once for each request at work, and against connections that break
// being taken for crashes.
func TestDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With three requests at work,", t, func() {
			i := &crashingInstance{}
			d := i.detector()
			requests := []*request{{id: "a"}, {id: "b"}, {id: "c"}}
			began := time.Now()
			for _, req := range requests {
				d.Begin(req)
			}
			time.Sleep(time.Second)
			lose := func() (crashes int) {
				var mu sync.Mutex
				var losing sync.WaitGroup
				for n, req := range requests {
					losing.Go(func() {
						time.Sleep(time.Duration(n) * time.Millisecond)
						crashed := d.Lost(t.Context(), began)
						d.End(req, false)
						mu.Lock()
						defer mu.Unlock()
						if crashed {
							crashes++
						}
					})
				}
				losing.Wait()
				return crashes
			}
			// A reset of all connections is no crash.
			So(lose(), ShouldEqual, 0)
			So(i.reports, ShouldBeEmpty)
			// A crash is one report with all that was at work, for all requests that are lost by it.
			for _, req := range requests {
				d.Begin(req)
			}
			i.setCrashed(true)
			So(lose(), ShouldEqual, 3)
			So(i.reports, ShouldHaveLength, 1)
			So(ids(i.reports[0]), ShouldResemble, map[string]bool{"a": true, "b": true, "c": true})
			// The next instance's connections that break are no crash of the earlier one.
			i.setCrashed(false)
			time.Sleep(time.Second)
			So(d.Lost(t.Context(), time.Now()), ShouldBeFalse)
			So(i.reports, ShouldHaveLength, 1)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A request that is lost while a check goes on which began before is checked itself", t, func() {
			i := &crashingInstance{}
			d := i.detector()
			req := &request{id: "a"}
			d.Begin(req)
			began := time.Now()
			var first sync.WaitGroup
			first.Go(func() { d.Lost(t.Context(), began) })
			time.Sleep(checkTime - time.Millisecond)
			lost := make(chan bool)
			go func() { lost <- d.Lost(t.Context(), began) }()
			time.Sleep(checkTime / 2)
			i.setCrashed(true)
			So(<-lost, ShouldBeTrue)
			first.Wait()
		})
	})
	// Guards against a crash that isn't noticed since the process that ends closes its connections before it stops listening.
	synctest.Test(t, func(t *testing.T) {
		Convey("An instance that listens for a moment longer than its connections last has crashed", t, func() {
			i := &crashingInstance{}
			d := i.detector()
			d.Begin(&request{id: "a"})
			time.AfterFunc(recheckPause/2, func() { i.setCrashed(true) })
			So(d.Lost(t.Context(), time.Now()), ShouldBeTrue)
			So(i.reports, ShouldHaveLength, 1)
		})
	})
	// Guards against content that works for so long that its caller leaves before the instance crashes.
	synctest.Test(t, func(t *testing.T) {
		Convey("A request whose caller has left is at work for a while longer", t, func() {
			i := &crashingInstance{crashed: true}
			d := i.detector()
			for _, c := range []struct {
				id    string
				after time.Duration
			}{{"old", abandonedTTL}, {"recent", time.Millisecond}} {
				req := &request{id: c.id}
				d.Begin(req)
				d.End(req, true)
				time.Sleep(c.after)
			}
			req := &request{id: "a"}
			d.Begin(req)
			So(d.Lost(t.Context(), time.Now()), ShouldBeTrue)
			So(ids(i.reports[0]), ShouldResemble, map[string]bool{"a": true, "recent": true})
		})
	})
}
