package scenario

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailhook/foxtailhook/internal/load/traffic"
)

// eventTimeout limits each wait for an expected event. It only keeps a failing test from
// hanging, and is so long that no result depends on the speed of the machine.
const eventTimeout = 2 * time.Minute

// eventCommands let a script wait for an event instead of a fixed time.
func eventCommands() map[string]command {
	return map[string]command{
		"hold":      cmdHold,      // hold NAME [BODY]: keep the upstream's runs, or only those with the body, from ending until release
		"release":   cmdRelease,   // release NAME: end the hold
		"abandon":   cmdAbandon,   // abandon TAG: cancel the request that was begun; fail if it was answered before
		"awaitruns": cmdAwaitRuns, // awaitruns PATTERN: wait until the output of runs matches
		"awaitlog":  cmdAwaitLog,  // awaitlog NAME PATTERN: wait until the daemon's log matches
		"heldflood": cmdHeldFlood, // heldflood PLACES NAME KEY COUNT PATH...: as flood, with the upstream held until all but PLACES requests are answered
	}
}

// waitFor polls until the condition holds and returns what was seen; after eventTimeout the script fails with what was seen last.
func waitFor(ts *testscript.TestScript, what string, condition func() (seen string, ok bool)) string {
	seen := ""
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		var ok bool
		if seen, ok = condition(); ok {
			return seen
		}
	}
	ts.Fatalf("no %q within %s; the last was %s", what, eventTimeout, seen)
	return ""
}

func (f *fleet) upstreamURL(name, path string) string {
	return fmt.Sprintf("http://%s%s", f.address(f.hosts[name].number, upstreamPort), path)
}

func cmdHold(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "hold NAME [BODY]")
	query := ""
	if len(args) > 1 {
		query = "?body=" + url.QueryEscape(args[1])
	}
	ts.Check(traffic.SendOperatorRequest(context.Background(), http.MethodPost, fleetOf(ts).upstreamURL(args[0], "/standin/hold"+query), ""))
}

func cmdRelease(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "release NAME")
	ts.Check(fleetOf(ts).release(args[0]))
}

func (f *fleet) release(name string) error {
	return traffic.SendOperatorRequest(context.Background(), http.MethodPost, f.upstreamURL(name, "/standin/release"), "")
}

func cmdAbandon(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "abandon TAG")
	pending := pendingSendOf(ts, args[0])
	pending.cancel()
	<-pending.done
	if pending.err == nil {
		ts.Fatalf("the request was answered before it was cancelled: %s", pending.out)
	}
}

func cmdAwaitRuns(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "awaitruns PATTERN")
	pattern := regexp.MustCompile(args[0])
	waitFor(ts, args[0], func() (string, bool) {
		out := runsText(ts)
		return out, pattern.MatchString(out)
	})
}

func cmdAwaitLog(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "awaitlog NAME PATTERN")
	pattern := regexp.MustCompile(args[1])
	waitFor(ts, args[1], func() (string, bool) {
		raw, _ := os.ReadFile(filepath.Join(fleetOf(ts).dir, args[0]+".log"))
		last := raw[bytes.LastIndexByte(bytes.TrimSpace(raw), '\n')+1:]
		return string(last), pattern.Match(raw)
	})
}

func cmdHeldFlood(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 5, "heldflood PLACES NAME KEY COUNT PATH...")
	capacity, err := strconv.Atoi(args[0])
	ts.Check(err)
	f, name := fleetOf(ts), args[1]
	cmdHold(ts, false, args[1:2])
	var answersUntilRelease atomic.Int64
	answersUntilRelease.Store(int64(-capacity))
	for i := 3; i < len(args); i += 2 {
		count, err := strconv.Atoi(args[i])
		ts.Check(err)
		answersUntilRelease.Add(int64(count))
	}
	flood(ts, args[1:], func() {
		if answersUntilRelease.Add(-1) == 0 {
			_ = f.release(name)
		}
	})
}
