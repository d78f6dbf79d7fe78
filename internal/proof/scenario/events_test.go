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

// eventTime bounds a wait for what must come. It is there for a test that would else
// hang, and so long that no verdict depends on how fast the machine is.
const eventTime = 2 * time.Minute

// eventCommands let a script go on when something has happened, in place of when it should have.
func eventCommands() map[string]command {
	return map[string]command{
		"hold":      cmdHold,      // hold NAME [BODY]: the upstream's runs, those of the body alone if one is given, last until release
		"release":   cmdRelease,   // release NAME
		"abandon":   cmdAbandon,   // abandon TAG: hang up on what was begun; an answer that came before is a failure
		"awaitruns": cmdAwaitRuns, // awaitruns PATTERN: wait until the output of runs matches
		"awaitlog":  cmdAwaitLog,  // awaitlog NAME PATTERN: wait until the daemon's log matches
		"heldflood": cmdHeldFlood, // heldflood PLACES NAME KEY COUNT PATH...: as flood, with the upstream held until all but so many are answered
	}
}

// wait repeats until it holds, and fails with what was seen last.
func wait(ts *testscript.TestScript, what string, holds func() (seen string, ok bool)) string {
	seen := ""
	for end := time.Now().Add(eventTime); time.Now().Before(end); time.Sleep(awaitLook) {
		var ok bool
		if seen, ok = holds(); ok {
			return seen
		}
	}
	ts.Fatalf("no %q within %s; the last was %s", what, eventTime, seen)
	return ""
}

func (f *fleet) upstream(name, path string) string {
	return fmt.Sprintf("http://%s%s", f.address(f.hosts[name].number, upstreamPort), path)
}

func cmdHold(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "hold NAME [BODY]")
	query := ""
	if len(args) > 1 {
		query = "?body=" + url.QueryEscape(args[1])
	}
	ts.Check(traffic.SendOperatorRequest(context.Background(), http.MethodPost, fleetOf(ts).upstream(args[0], "/standin/hold"+query), ""))
}

func cmdRelease(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "release NAME")
	ts.Check(fleetOf(ts).release(args[0]))
}

func (f *fleet) release(name string) error {
	return traffic.SendOperatorRequest(context.Background(), http.MethodPost, f.upstream(name, "/standin/release"), "")
}

func cmdAbandon(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "abandon TAG")
	b := begunAs(ts, args[0])
	b.hangUp()
	<-b.done
	if b.err == nil {
		ts.Fatalf("an answer came before the caller hung up: %s", b.out)
	}
}

func cmdAwaitRuns(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "awaitruns PATTERN")
	pattern := regexp.MustCompile(args[0])
	wait(ts, args[0], func() (string, bool) {
		out := runsText(ts)
		return out, pattern.MatchString(out)
	})
}

func cmdAwaitLog(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2, "awaitlog NAME PATTERN")
	pattern := regexp.MustCompile(args[1])
	wait(ts, args[1], func() (string, bool) {
		raw, _ := os.ReadFile(filepath.Join(fleetOf(ts).dir, args[0]+".log"))
		last := raw[bytes.LastIndexByte(bytes.TrimSpace(raw), '\n')+1:]
		return string(last), pattern.Match(raw)
	})
}

func cmdHeldFlood(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 5, "heldflood PLACES NAME KEY COUNT PATH...")
	places, err := strconv.Atoi(args[0])
	ts.Check(err)
	f, name := fleetOf(ts), args[1]
	cmdHold(ts, false, args[1:2])
	var missing atomic.Int64
	missing.Store(int64(-places))
	for i := 3; i < len(args); i += 2 {
		count, err := strconv.Atoi(args[i])
		ts.Check(err)
		missing.Add(int64(count))
	}
	flood(ts, args[1:], func() {
		if missing.Add(-1) == 0 {
			_ = f.release(name)
		}
	})
}
