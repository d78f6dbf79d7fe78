package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/rate"
)

// regionCommands are the commands of scripts about regions.
func regionCommands() map[string]command {
	return map[string]command{
		"paced":      cmdPaced,      // paced RATE METHOD PATH key=K: as load, for an organisation that sends above its rate
		"pacedend":   cmdPacedEnd,   // pacedend ORGANISATION RATE BURST: stop, and print by how many requests the runs exceed rate and burst
		"regions":    cmdRegions,    // regions: print the number of runs in each region
		"awaitrow":   cmdAwaitRow,   // awaitrow COUNT PATTERN send...: repeat a send until COUNT consecutive outputs match PATTERN
		"rising":     cmdRising,     // rising LIST NAME...: check in the logs that each version of the list that a daemon put in force was newer than the one before
		"withinPart": cmdWithinPart, // withinPart RATE BURST REGION: check that no more of the streams' requests were admitted than the region's rate shards allow, and at least half of their rate
	}
}

// resolveNames returns the hosts of the region with that name, or the name itself.
func (f *fleet) resolveNames(name string) []string {
	var hosts []string
	for _, host := range f.hostNames {
		if f.hosts[host].region == name {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return []string{name}
	}
	return hosts
}

func cmdRegions(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	runs := map[string]int{}
	for _, name := range f.hostNames {
		region := f.hosts[name].region
		runs[region] += 0
		for _, n := range upstreamRuns(ts, name) {
			runs[region] += n
		}
	}
	var all []string
	for _, region := range slices.Sorted(maps.Keys(runs)) {
		all = append(all, fmt.Sprintf("%s=%d", region, runs[region]))
	}
	fmt.Fprintln(ts.Stdout(), strings.Join(all, " "))
}

func cmdAwaitRow(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 6, "awaitrow COUNT PATTERN send NAME METHOD PATH ...")
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	matches := 0
	waitFor(ts, args[1], func() (string, bool) {
		out, err := send(ts, args[3:])
		if err != nil {
			out = err.Error()
		}
		matches++
		if !pattern.MatchString(out) {
			matches = 0
		}
		return out, matches == count
	})
}

// cmdRising checks the logs, since an older version may be in force for less than a millisecond before a peer sends the
// newer one again, too short for requests to detect it. None of the daemons may have been restarted.
func cmdRising(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "rising LIST NAME...")
	for _, name := range args[1:] {
		raw, err := os.ReadFile(filepath.Join(fleetOf(ts).dir, name+".log"))
		ts.Check(err)
		last := 0
		for line := range strings.Lines(string(raw)) {
			var entry struct {
				List, Verdict string
				Version       int
			}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.List != args[0] || entry.Verdict != lists.Accepted.String() {
				continue
			}
			if entry.Version <= last {
				ts.Fatalf("%s put version %d of %s in force after %d", name, entry.Version, args[0], last)
			}
			last = entry.Version
		}
		if last == 0 {
			ts.Fatalf("the log of %s has no accepted version of %s", name, args[0])
		}
	}
}

// shardsOf returns the number of rate shards that the hosts own, of the organisations with traffic.
func shardsOf(ts *testscript.TestScript, names []string) int {
	total := 0
	for _, name := range names {
		var status struct{ Rates struct{ Shards int } }
		ts.Check(json.Unmarshal([]byte(statusOf(ts, name)), &status))
		total += status.Rates.Shards
	}
	return total
}

// cmdWithinPart compares the streams' admitted requests with the fraction of one
// organisation's rate whose shards a region owns. The burst must be a multiple of
// the number of shards: a shard's burst is a whole number of tokens, so only then
// do all shards have the same.
func cmdWithinPart(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "withinPart RATE BURST REGION")
	perSecond, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	f := fleetOf(ts)
	for _, name := range f.resolveNames(args[2]) {
		if !strings.Contains(statusOf(ts, name), `"mayLend": true`) {
			ts.Fatalf("%s lends no tokens, so the region's share can't be computed from its shards", name)
		}
	}
	regionShards := shardsOf(ts, f.resolveNames(args[2]))
	share := float64(regionShards) / rate.DefaultShards
	var spans []span
	for _, a := range streamsOfFleet(ts).admitted {
		spans = append(spans, span{from: a.sent.UnixNano(), to: a.answered.UnixNano()})
	}
	if len(spans) == 0 && regionShards == 0 {
		return
	}
	if len(spans) == 0 {
		ts.Fatalf("no request was admitted, although the region owns %d shards", regionShards)
	}
	excess := maxExcess(spans, perSecond*share, burst*share)
	first := slices.MinFunc(spans, func(a, b span) int { return int(a.from - b.from) })
	last := slices.MaxFunc(spans, func(a, b span) int { return int(a.to - b.to) })
	minAdmitted := perSecond * share * time.Duration(last.to-first.from).Seconds() / 2
	ts.Logf("%d of %d shards, %d admitted, want at least %.0f, worst interval exceeds the share by %.1f", regionShards, rate.DefaultShards, len(spans), minAdmitted, excess)
	if excess > 0 || float64(len(spans)) < minAdmitted {
		ts.Fatalf("%d admitted with %d of %d shards: worst interval exceeds the share by %.1f, want at least %.0f admitted", len(spans), regionShards, rate.DefaultShards, excess, minAdmitted)
	}
}
