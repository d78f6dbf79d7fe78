package scenario

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// TestSoak mixes all faults for as long as SOAK says, in the order of SOAK_SEED; without SOAK it does not run.
func TestSoak(t *testing.T) {
	if os.Getenv("SOAK") == "" {
		t.Skip("SOAK names no length")
	}
	cmds := commands()
	maps.Copy(cmds, regionCommands())
	cmds["mayhem"] = cmdMayhem // mayhem: bring about faults for the length of SOAK
	testscript.Run(t, testscript.Params{Dir: "testdata/soak", Cmds: cmds, Setup: setup})
}

// resident returns a daemon's resident memory in KB.
func resident(ts *testscript.TestScript, name string) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", fleetOf(ts).hosts[name].daemon.cmd.Process.Pid))
	ts.Check(err)
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// mostRepeats is how often one keyed request is sent at most.
const mostRepeats = 3

func cmdKeyed(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 4, "keyed RATE METHOD PATH key=K")
	rate, err := strconv.Atoi(args[0])
	ts.Check(err)
	l := newLoad(fleetOf(ts))
	fleetOf(ts).keyed = l
	key := pairs(ts, args[3:])["key"]
	l.done.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for number := 0; ; number++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
				l.done.Go(func() { l.repeat(number, args[1], args[2], key) })
			}
		}
	})
}

// repeat sends one request up to three times to any hosts, the next one sometimes before the last was answered.
func (l *load) repeat(number int, method, path, key string) {
	name := uuid.Must(uuid.NewV7()).String()
	for range 1 + rand.IntN(mostRepeats) {
		l.done.Go(func() { l.once(number, method, path, key, name) })
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
	}
}

func (l *load) once(number int, method, path, key, name string) {
	h := l.fleet.hosts[l.fleet.order[rand.IntN(len(l.fleet.order))]]
	url := "http://" + l.fleet.address(h.number, callersPort).String() + path
	req, _ := http.NewRequest(method, url, &plainBody{strings.NewReader(fmt.Sprintf("load-%d", number))})
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", name)
	req.Header.Set(upstream.HeaderTimeout, strconv.FormatInt(loadTimeout.Milliseconds(), 10))
	out, err := exchange(req)
	l.note(number, out, err)
	l.noteKey(name, err == nil && strings.Fields(out)[1] == call.NotRun.String())
}

// noteKey keeps whether every attempt with a key was answered notRun.
func (l *load) noteKey(name string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.refused[name]
	l.refused[name] = notRun && (before || !known)
}

func cmdKeyedEnd(ts *testscript.TestScript, _ bool, _ []string) {
	l := fleetOf(ts).keyed
	l.end()
	runs, most := keyRuns(ts)
	refused, ran := 0, 0
	for key, all := range l.refused {
		if all {
			refused++
			ran += runs[key]
		}
	}
	fmt.Fprintf(ts.Stdout(), "keys=%d whole=%d notRun=%d outcomeUnknown=%d crossed=%d broken=%d refused=%d refusedRan=%d untrue=%d most=%d\n",
		len(runs), l.counts["whole"], l.counts["notRun"], l.counts["outcomeUnknown"], l.counts["crossed"], l.counts["broken"],
		refused, ran, l.untrue(ts), most)
}
