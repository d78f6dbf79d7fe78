package changes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/load/traffic"
)

// Result holds the results of a measurement.
type Result struct {
	Daemons       int `json:"daemons"`
	Listed        int `json:"listedHosts"`
	Organisations int `json:"organisations"`
	Changes       int `json:"changes"`
	// KeysBytes and HostsBytes are the sizes of the published values.
	KeysBytes  int `json:"keysBytes"`
	HostsBytes int `json:"hostsBytes"`
	// Ready is the time in milliseconds from publishing the lists until the last daemon accepts callers.
	Ready int64 `json:"readyMs"`
	// InForce is the time in milliseconds from publishing a change until the last daemon accepts it, over all changes; Each is
	// the same for every pair of daemon and change.
	InForce Range `json:"inForceMs"`
	Each    Range `json:"eachMs"`
	// Missing is the number of those pairs for which the daemon's log shows no acceptance.
	Missing int         `json:"missing"`
	Idle    ResourceUse `json:"idle"`
	Busy    ResourceUse `json:"changing"`
}

// Run publishes the lists, waits until the fleet is ready, and measures an idle phase and one with changes.
func Run(ctx context.Context, p Plan, progress io.Writer) (Result, error) {
	r := Result{Daemons: len(p.Daemons), Listed: p.Listed, Organisations: p.Organisations, Changes: p.Changes}
	hosts, err := p.publish(ctx, lists.KindHosts, p.hosts())
	if err != nil {
		return r, err
	}
	keys, err := p.publish(ctx, lists.KindKeys, p.keys(0))
	if err != nil {
		return r, err
	}
	r.HostsBytes, r.KeysBytes = hosts.bytes, keys.bytes
	if _, err := p.publish(ctx, lists.KindUses, uses()); err != nil {
		return r, err
	}
	if _, err := p.publish(ctx, lists.KindPlans, p.plans()); err != nil {
		return r, err
	}
	start := time.Now()
	if err := traffic.AwaitReady(ctx, p.operators()); err != nil {
		return r, err
	}
	r.Ready = time.Since(start).Milliseconds()
	fmt.Fprintf(progress, "changes: %d daemons ready after %d ms\n", r.Daemons, r.Ready)
	sleep(ctx, settleTime)
	if r.Idle, err = p.measureDuring(ctx, func() error { sleep(ctx, p.Idle); return nil }); err != nil {
		return r, err
	}
	var published []publication
	r.Busy, err = p.measureDuring(ctx, func() error {
		for i := range p.Changes {
			change, err := p.publish(ctx, lists.KindKeys, p.keys(i+1))
			if err != nil {
				return err
			}
			published = append(published, change)
			sleep(ctx, p.Every)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	return r, r.readAcceptanceTimes(p, published)
}

// settleTime is the time that the fleet gets to become idle after its start.
const settleTime = 5 * time.Second

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (p *Plan) operators() []netip.AddrPort {
	all := make([]netip.AddrPort, len(p.Daemons))
	for i, d := range p.Daemons {
		all[i] = d.Operators
	}
	return all
}

// publication is a published version of a list.
type publication struct {
	version uint64
	at      time.Time
	bytes   int
}

func (p *Plan) publish(ctx context.Context, kind lists.Kind, value any) (publication, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: encode list")
	}
	url := fmt.Sprintf("http://%s/v1/lists/%s", p.Platform, kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: build request")
	}
	at := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: publish")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: publish")
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(body)), 10, 64)
	return publication{version: version, at: at, bytes: len(raw)}, errors.Wrap(err, "changes: parse the published version")
}

// measureDuring runs f and returns what the daemons used meanwhile.
func (p *Plan) measureDuring(ctx context.Context, f func() error) (ResourceUse, error) {
	before, callsBefore, err := p.readUsages(ctx)
	if err != nil {
		return ResourceUse{}, err
	}
	start := time.Now()
	if err := f(); err != nil {
		return ResourceUse{}, err
	}
	length := time.Since(start)
	after, callsAfter, err := p.readUsages(ctx)
	if err != nil {
		return ResourceUse{}, err
	}
	use := usageBetween(before, after)
	use.PlatformCalls = float64(callsAfter-callsBefore) / length.Seconds()
	return use, nil
}

func (p *Plan) readUsages(ctx context.Context) ([]usage, int, error) {
	all := make([]usage, len(p.Daemons))
	for i, d := range p.Daemons {
		u, err := readUsage(ctx, d)
		if err != nil {
			return nil, 0, err
		}
		all[i] = u
	}
	raw, err := get(ctx, "http://"+p.Platform.String()+"/v1/reads")
	if err != nil {
		return nil, 0, err
	}
	calls, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	return all, calls, errors.Wrap(err, "changes: parse the count of reads")
}

// readAcceptanceTimes reads from the logs when each daemon accepted each change.
func (r *Result) readAcceptanceTimes(p Plan, published []publication) error {
	var each []float64
	last := make([]float64, len(published))
	for _, d := range p.Daemons {
		accepted, err := acceptanceTimes(d.Log)
		if err != nil {
			return err
		}
		for i, change := range published {
			at, ok := accepted[change.version]
			if !ok {
				r.Missing++
				continue
			}
			elapsed := float64(at.Sub(change.at).Microseconds()) / 1000
			each = append(each, elapsed)
			last[i] = max(last[i], elapsed)
		}
	}
	r.InForce, r.Each = rangeOf(last), rangeOf(each)
	return nil
}

func acceptanceTimes(path string) (map[uint64]time.Time, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "changes: open log")
	}
	defer func() { _ = file.Close() }()
	all := map[uint64]time.Time{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Msg     string    `json:"msg"`
			List    string    `json:"list"`
			Verdict string    `json:"verdict"`
			Version uint64    `json:"version"`
			Time    time.Time `json:"time"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Msg == "list" && line.List == lists.KindKeys.String() && line.Verdict == lists.Accepted.String() {
			all[line.Version] = line.Time
		}
	}
	return all, errors.Wrap(lines.Err(), "changes: read log")
}
