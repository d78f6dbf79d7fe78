package daemon

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/app/crash"
	"github.com/foxtailhook/foxtailhook/internal/app/settings"
	"github.com/foxtailhook/foxtailhook/internal/decide/quarantine"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// crashingUpstream ends with the first request that it receives, and starts again for the next one.
type crashingUpstream struct {
	address netip.AddrPort
	crashes atomic.Int64
}

func (u *crashingUpstream) start(t *testing.T) {
	listener, err := net.Listen("tcp", u.address.String())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_ = listener.Close()
		u.crashes.Add(1)
		_ = c.Close()
	}()
	t.Cleanup(func() { _ = listener.Close() })
}

// TestRequestThatCrashesUpstreams guards against a request that crashes upstream after upstream, since each repeat of its caller has another id.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	Convey("A request that crashed the upstream three times isn't run again", t, func() {
		u := &crashingUpstream{address: loopback.Address()}
		e := newExecutor(settings.Default(), upstream.New(u.address))
		id := quarantine.CrashID(0)
		e.crashed = func(suspects []crash.Suspect) {
			id++
			for _, s := range suspects {
				e.quarantine.Report(quarantine.Crash{ID: id, Salt: s.Salt, Suspects: map[string][]quarantine.Fingerprint{s.Key.Route: {s.Key.Fingerprint}}}, time.Now())
			}
		}
		run := func(path string) call.Answer {
			r := &call.Request{ID: path, Organisation: "dealer", Operation: "op", Method: "GET", Path: path, Deadline: time.Now().Add(time.Minute), Budget: 4}
			return e.run(context.Background(), r, time.Time{}, nil)
		}
		for range 3 {
			u.start(t)
			So(run("/a").Reason, ShouldEqual, call.AnswerLost)
		}
		a := run("/a")
		So(a.Outcome, ShouldEqual, call.NotRun)
		So(a.Reason, ShouldEqual, call.Quarantined)
		So(a.RetryAfter, ShouldBeGreaterThan, time.Minute)
		So(retryable(call.Request{Idempotent: true}, a), ShouldBeFalse)
		u.start(t)
		So(run("/b").Reason, ShouldEqual, call.AnswerLost)
		So(u.crashes.Load(), ShouldEqual, 4)
	})
}
