package router

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/fleet/catalog"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// fatal is a request whose content crashes instances.
func fatal() *runRequest {
	return &runRequest{RequestID: "f", Route: "r", Method: "GET", Target: "/fatal", Remaining: time.Minute}
}

// crashUnder returns a report on a crash under the request.
func crashUnder(table *quarantine.Table, id int, req *runRequest) quarantine.Crash {
	salt := table.Salt()
	return quarantine.Crash{ID: quarantine.CrashID(id), Salt: salt, Suspects: map[string][]quarantine.Fingerprint{req.Route: {req.content().Fingerprint(salt)}}}
}

// knowing returns how many daemons count the crashes against the request's content.
func (f *startedFleet) knowing(req *runRequest, crashes int) int {
	count := 0
	for _, r := range f.routers {
		if r.executor.quarantine.Check(req.content(), time.Now()).Crashes == crashes {
			count++
		}
	}
	return count
}

// TestSpreadCrash guards against a request that is repeated at a daemon which doesn't know yet that its content has crashed an instance.
func TestSpreadCrash(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		// absent is the number of further hosts that are listed and on which no daemon runs.
		absent int
	}{
		{"a few daemons", 4, 0},
		{"as many as need a second hop, and some can't be reached", 20, 5},
	} {
		Convey("A crash is known to "+c.name+" when its requests are answered", t, func() {
			var absent []netip.Addr
			for range c.absent {
				absent = append(absent, loopback.Address().Addr())
			}
			f := &startedFleet{}
			f.start(t, c.size, func(_ int, changes catalog.Changes) Source {
				changes.Entries = append(changes.Entries, zoneChanges(absent, changes.Revision).Entries...)
				return slowSource{changes: changes, reads: &f.reads}
			})
			f.awaitLoaded(t)
			reporter := f.routers[1]
			reporter.crashes.Spread([]crash.Suspect{reporter.executor.suspect(fatal())})
			So(f.knowing(fatal(), 1), ShouldEqual, len(f.routers))
		})
	}
	// Guards against a host that is sent the content with its next instance, and hasn't heard of crashes while it had none.
	Convey("A crash is known to a daemon whose instance is unlisted for a while", t, func() {
		f := startFleet(t, 4, false)
		f.awaitLoaded(t)
		reporter, unlisted := f.routers[0], f.routers[2]
		id := unlisted.settings.Peers.Addr().String()
		reporter.control.applyChanges(catalog.Changes{Revision: 8, Entries: []catalog.Entry{{Key: id, Revision: 8, Removed: true}}}, "")
		So(reporter.crashReceivers(nil).Listed, ShouldNotContain, unlisted.settings.Peers)
		reporter.crashes.Spread([]crash.Suspect{reporter.executor.suspect(fatal())})
		for end := time.Now().Add(time.Minute); f.knowing(fatal(), 1) < len(f.routers); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("a daemon doesn't know after a minute")
			}
		}
	})
	Convey("A daemon that missed the reports asks for them", t, func() {
		f := startFleet(t, 4, false)
		f.awaitLoaded(t)
		for id := range 3 {
			for _, r := range f.routers[:3] {
				r.executor.quarantine.Report(crashUnder(f.routers[0].executor.quarantine, id+1, fatal()), time.Now())
			}
		}
		missed := f.routers[3]
		missed.crashes.Ask()
		for end := time.Now().Add(time.Minute); !missed.executor.quarantine.Check(fatal().content(), time.Now()).Refused; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the daemon doesn't know after a minute")
			}
		}
	})
}

// TestScreen guards against content that crashes instances and runs nevertheless, or beside itself when the next crash would be the last.
func TestScreen(t *testing.T) {
	crashes := func(r *Router, times int) {
		for id := range times {
			r.executor.quarantine.Report(crashUnder(r.executor.quarantine, id+1, fatal()), time.Now())
		}
	}
	for _, c := range []struct {
		crashes int
		alone   bool
		reason  call.Reason
	}{
		{0, false, call.None},
		{1, false, call.Suspected},
		{1, true, call.None},
		{2, false, call.Suspected},
		{2, true, call.None},
		{3, false, call.Quarantined},
		{3, true, call.Quarantined},
	} {
		Convey(fmt.Sprintf("After %d crashes, sent to the only instance for it: %v", c.crashes, c.alone), t, func() {
			r, req := newRouterBeside(4), fatal()
			crashes(r, c.crashes)
			req.Exclusive = c.alone
			res, ok := r.executor.screen(t.Context(), req, time.Now().Add(time.Minute))
			So(ok, ShouldEqual, c.reason == call.None)
			So(res.Reason, ShouldEqual, c.reason)
			So(res.Suspect != 0, ShouldEqual, c.reason == call.Suspected)
			other := fatal()
			other.Target = "/other"
			_, ok = r.executor.screen(t.Context(), other, time.Now().Add(time.Minute))
			So(ok, ShouldBeTrue)
		})
	}
	for _, c := range []struct {
		name string
		// end is what happens to the first request.
		end    func(*Router)
		reason call.Reason
	}{
		{"and runs if that succeeds", func(r *Router) { r.executor.quarantine.Succeeded(fatal().content()) }, call.None},
		{"and is refused if that crashes the instance", func(r *Router) {
			r.executor.quarantine.Report(crashUnder(r.executor.quarantine, 9, fatal()), time.Now())
		}, call.Quarantined},
		{"and runs if that is cut off", func(*Router) {}, call.None},
	} {
		r := newRouterBeside(4)
		synctest.Test(t, func(t *testing.T) {
			Convey("Of two requests that run alone, the second waits for the first "+c.name, t, func() {
				crashes(r, 2)
				first, second := fatal(), fatal()
				first.Exclusive, second.Exclusive = true, true
				deadline := time.Now().Add(time.Minute)
				_, ok := r.executor.screen(t.Context(), first, deadline)
				So(ok, ShouldBeTrue)
				done := make(chan runResult, 1)
				go func() {
					res, _ := r.executor.screen(t.Context(), second, deadline)
					done <- res
				}()
				synctest.Wait()
				So(done, ShouldBeEmpty)
				c.end(r)
				r.executor.unlock(first)
				So((<-done).Reason, ShouldEqual, c.reason)
			})
		})
	}
	// Guards against a request that waits for a slot while another one with its content crashes an instance, and that runs then.
	Convey("A request is screened again when it has got a slot", t, func() {
		r, req := newRouterBeside(4), fatal()
		crashes(r, 2)
		req.Exclusive = true
		_, ok := r.executor.screen(t.Context(), req, time.Now().Add(time.Minute))
		So(ok, ShouldBeTrue)
		So(r.executor.closedToContent(req, time.Now()), ShouldEqual, call.None)
		r.executor.quarantine.Report(crashUnder(r.executor.quarantine, 9, fatal()), time.Now())
		So(r.executor.closedToContent(req, time.Now()), ShouldEqual, call.Quarantined)
	})
}
