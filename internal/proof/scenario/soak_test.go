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

// TestSoak injects all kinds of faults for the duration in SOAK, in an order that SOAK_SEED determines. Without SOAK it is skipped.
func TestSoak(t *testing.T) {
	if os.Getenv("SOAK") == "" {
		t.Skip("SOAK has no duration")
	}
	cmds := commands()
	maps.Copy(cmds, regionCommands())
	cmds["mayhem"] = cmdMayhem // mayhem: inject faults for the duration in SOAK
	testscript.Run(t, testscript.Params{Dir: "testdata/soak", Cmds: cmds, Setup: setup})
}

// residentKB returns a daemon's resident memory in KB.
func residentKB(ts *testscript.TestScript, name string) int {
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

// maxSends is the maximum number of times that one keyed request is sent.
const maxSends = 3

func cmdKeyed(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 4, "keyed RATE METHOD PATH key=K")
	rate, err := strconv.Atoi(args[0])
	ts.Check(err)
	l := newLoad(fleetOf(ts))
	fleetOf(ts).keyed = l
	key := parseOptions(ts, args[3:])["key"]
	l.senders.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for number := 0; ; number++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
				l.senders.Go(func() { l.sendSeveralTimes(number, args[1], args[2], key) })
			}
		}
	})
}

// sendSeveralTimes sends a request up to maxSends times with one idempotency key, each time to a random host; sometimes the
// previous one has not been answered yet.
func (l *load) sendSeveralTimes(number int, method, path, key string) {
	idempotencyKey := uuid.Must(uuid.NewV7()).String()
	for range 1 + rand.IntN(maxSends) {
		l.senders.Go(func() { l.sendKeyed(number, method, path, key, idempotencyKey) })
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
	}
}

func (l *load) sendKeyed(number int, method, path, key, idempotencyKey string) {
	h := l.fleet.hosts[l.fleet.hostNames[rand.IntN(len(l.fleet.hostNames))]]
	url := "http://" + l.fleet.address(h.number, callersPort).String() + path
	req, _ := http.NewRequest(method, url, &unreplayableBody{strings.NewReader(fmt.Sprintf("load-%d", number))})
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	req.Header.Set(upstream.HeaderTimeout, strconv.FormatInt(loadTimeout.Milliseconds(), 10))
	out, err := sendRequest(req)
	l.record(number, out, err)
	l.recordKey(idempotencyKey, err == nil && strings.Fields(out)[1] == call.NotRun.String())
}

// recordKey records whether every attempt with a key was answered notRun.
func (l *load) recordKey(idempotencyKey string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.allNotRun[idempotencyKey]
	l.allNotRun[idempotencyKey] = notRun && (before || !known)
}

func cmdKeyedEnd(ts *testscript.TestScript, _ bool, _ []string) {
	l := fleetOf(ts).keyed
	l.finish()
	runs, maxRuns := keyRuns(ts)
	neverAccepted, ran := 0, 0
	for key, all := range l.allNotRun {
		if all {
			neverAccepted++
			ran += runs[key]
		}
	}
	fmt.Fprintf(ts.Stdout(), "keys=%d whole=%d notRun=%d outcomeUnknown=%d crossed=%d broken=%d refused=%d refusedRan=%d untrue=%d most=%d\n",
		len(runs), l.counts["whole"], l.counts["notRun"], l.counts["outcomeUnknown"], l.counts["crossed"], l.counts["broken"],
		neverAccepted, ran, l.notRunButRan(ts), maxRuns)
}
