package status

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func serve(t *testing.T, body string) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

const healthy = `{"host":"h1","ready":true,"standing":"serving","rates":{"mayLend":true,"hostsVersion":3},"lists":{"keys":{"version":4},"plans":{"version":2}}}`

func TestFleet(t *testing.T) {
	// A partitioned host goes on with an older list, so a withdrawn key is still
	// valid on it, which the status of no single host shows.
	outdated := strings.NewReplacer("h1", "h2", `"version":4`, `"version":3`).Replace(healthy)
	rejecting := strings.NewReplacer("h1", "h3", `"version":2`, `"version":2,"rejected":{"version":5,"faults":[{"place":"line 1","text":"unknown field"}]}`).Replace(healthy)
	Convey("Healthy hosts with the same versions give no concern", t, func() {
		fleet := New(Fetch(t.Context(), []netip.AddrPort{serve(t, healthy), serve(t, healthy)}, time.Second))
		So(fleet.Concerns, ShouldBeEmpty)
		So(fleet.Hosts[0].Status.Host, ShouldEqual, "h1")
	})
	Convey("A host that isn't ready, is isolated or lends no tokens is named with the likely cause", t, func() {
		cases := []struct {
			name  string
			old   []string
			wants string
		}{
			{"isolated", []string{`"ready":true,"standing":"serving"`, `"standing":"isolated"`}, "isolated, neither a peer nor the platform"},
			{"starting", []string{`"ready":true,"standing":"serving"`, `"standing":"starting"`}, "not known to be current (starting)"},
			{"no port yet", []string{`"ready":true,`, ``}, "waits for its part of the rates"},
			{"suspects", []string{`"ready":true`, `"ready":true,"suspects":2`}, "can't reach 2 of the listed hosts"},
			{"no quorum", []string{`"mayLend":true`, `"mayLend":false`}, "lends no tokens of its rate shards: it isn't in its hosts list (version 3)"},
			{"fence", []string{`"mayLend":true`, `"mayLend":true,"fencedUntil":"2026-12-03T01:00:00Z"`}, "lie idle until 2026-12-03T01:00:00Z"},
			{"leaving", []string{`"mayLend":true`, `"mayLend":false},"leaving":true,"x":{"y":0`}, ""},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				body := strings.NewReplacer(c.old...).Replace(healthy)
				fleet := New(Fetch(t.Context(), []netip.AddrPort{serve(t, healthy), serve(t, body)}, time.Second))
				all := strings.Join(fleet.Concerns, "\n")
				So(all == "", ShouldEqual, c.wants == "")
				So(all, ShouldContainSubstring, c.wants)
			})
		}
	})
	Convey("Hosts that have other versions, have rejected a list or don't answer are named", t, func() {
		unreachable := netip.MustParseAddrPort("127.0.0.1:1")
		fleet := New(Fetch(t.Context(), []netip.AddrPort{
			serve(t, healthy), serve(t, outdated), serve(t, rejecting), serve(t, `{"host":"h4","lists":{"keys":{"version":4},"plans":{"version":2}}}`), unreachable, serve(t, "x"),
		}, time.Second))
		all := strings.Join(fleet.Concerns, "\n")
		So(fleet.Concerns, ShouldHaveLength, 5)
		So(all, ShouldContainSubstring, "keys: version 3 instead of 4 on h2")
		So(all, ShouldContainSubstring, "rejected plans version 5: line 1: unknown field")
		So(all, ShouldContainSubstring, "h4")
		So(all, ShouldContainSubstring, "127.0.0.1:1: no answer")
		So(all, ShouldContainSubstring, "unreadable answer")
	})
}
