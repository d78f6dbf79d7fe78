package capacity

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// usageLine is a line of a daemon that has run for 10 s.
func usageLine(fields string) string {
	return `{"msg":"usage","upMs":10000,"cpuMs":100,"memoryKb":20480,"heartbeats":50,"storeCalls":10,` + fields + `,"time":"2026-12-04T10:00:00Z"}`
}

func catalogLine(version int, second float64) string {
	return fmt.Sprintf(`{"msg":"catalog","version":%d,"time":"2026-12-04T10:00:%06.3fZ"}`, version, second)
}

// TestSummary guards against a page on capacity whose figures nobody can make again from the logs.
func TestSummary(t *testing.T) {
	Convey("Each daemon counts with its role, by its last line", t, func() {
		logs := NewLogs()
		So(logs.Add(strings.NewReader(usageLine(`"collects":"none"`)+"\n"+usageLine(`"collects":"fleet","reader":true,"connections":7`)), "a"), ShouldBeNil)
		So(logs.Add(strings.NewReader(usageLine(`"collects":"group"`)), "b"), ShouldBeNil)
		So(logs.Add(strings.NewReader(usageLine(`"collects":"none","reader":true`)), "c"), ShouldBeNil)
		So(logs.Add(strings.NewReader(usageLine(`"collects":"none","seed":true`)), "d"), ShouldBeNil)
		for n := range 3 {
			So(logs.Add(strings.NewReader(usageLine(fmt.Sprintf(`"collects":"none","sentKb":%d`, 100*n))), fmt.Sprint("e", n)), ShouldBeNil)
		}
		summary := logs.Summary()
		So(summary.Roles, ShouldHaveLength, len(Roles))
		for i, role := range Roles {
			So(summary.Roles[i].Role, ShouldEqual, role)
		}
		So(summary.Roles[0].Connections.Most, ShouldEqual, 7)
		daemons := summary.Roles[len(Roles)-1]
		So(daemons.Daemons, ShouldEqual, 3)
		So(daemons.CPUPercent, ShouldResemble, Range{Middle: 1, Most: 1})
		So(daemons.MemoryMB.Most, ShouldEqual, 20)
		So(daemons.Heartbeats.Middle, ShouldEqual, 5)
		So(daemons.StoreCalls.Middle, ShouldEqual, 1)
		So(daemons.TrafficKB, ShouldResemble, Range{Middle: 10, Most: 20})
	})
	Convey("Lines with a host's name are told apart, others are passed over", t, func() {
		logs := NewLogs()
		log := "  1.5 host-1 " + catalogLine(3, 1) + "\nno log line\n 1.9 host-2 " + catalogLine(3, 1.4) + "\n 2.0 host-1 " + catalogLine(3, 1.5) + "\n 2.1 host-3 " + catalogLine(3, 2)
		So(logs.Add(strings.NewReader(log), "file"), ShouldBeNil)
		So(logs.Skipped, ShouldEqual, 1)
		So(logs.Summary().Changes, ShouldResemble, []Spread{{Version: 3, Daemons: 3, MiddleMs: 400, LastMs: 1000}})
	})
	Convey("The tables have a row for each role and each version", t, func() {
		logs := NewLogs()
		So(logs.Add(strings.NewReader(usageLine(`"collects":"none"`)+"\n"+catalogLine(3, 1)), "a"), ShouldBeNil)
		var out bytes.Buffer
		So(logs.Summary().Print(&out), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "1.0 / 1.0")
		So(strings.Count(out.String(), "\n"), ShouldEqual, 5)
	})
}
