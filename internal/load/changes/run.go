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

// Result is what one measurement found.
type Result struct {
	Daemons       int `json:"daemons"`
	Listed        int `json:"listedHosts"`
	Organisations int `json:"organisations"`
	Changes       int `json:"changes"`
	// KeysBytes and HostsBytes are the sizes of the published values.
	KeysBytes  int `json:"keysBytes"`
	HostsBytes int `json:"hostsBytes"`
	// Ready is the time from the publishing of the lists to the last daemon that takes callers, in milliseconds.
	Ready int64 `json:"readyMs"`
	// InForce is the time from the publishing of a change to its acceptance at the last daemon, over the
	// changes, in milliseconds; Each is the same over daemons and changes.
	InForce Range `json:"inForceMs"`
	Each    Range `json:"eachMs"`
	Missing int   `json:"missing"`
	Idle    Spent `json:"idle"`
	Busy    Spent `json:"changing"`
}

// Run publishes the lists, waits until the fleet is ready, and measures a quiet and a changing part.
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
	begun := time.Now()
	if err := traffic.AwaitReady(ctx, p.operators()); err != nil {
		return r, err
	}
	r.Ready = time.Since(begun).Milliseconds()
	fmt.Fprintf(progress, "changes: %d daemons ready after %d ms\n", r.Daemons, r.Ready)
	sleep(ctx, settle)
	if r.Idle, err = p.part(ctx, func() error { sleep(ctx, p.Idle); return nil }); err != nil {
		return r, err
	}
	var published []publication
	r.Busy, err = p.part(ctx, func() error {
		for i := range p.Changes {
			one, err := p.publish(ctx, lists.KindKeys, p.keys(i+1))
			if err != nil {
				return err
			}
			published = append(published, one)
			sleep(ctx, p.Every)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	return r, r.times(p, published)
}

// settle lets the fleet come to rest after its start.
const settle = 5 * time.Second

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

// publication is one version of a list and when it was published.
type publication struct {
	version uint64
	at      time.Time
	bytes   int
}

func (p *Plan) publish(ctx context.Context, kind lists.Kind, value any) (publication, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: encode")
	}
	url := fmt.Sprintf("http://%s/v1/lists/%s", p.Platform, kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return publication{}, errors.Wrap(err, "changes")
	}
	at := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: publish")
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return publication{}, errors.Wrap(err, "changes: publish")
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(answer)), 10, 64)
	return publication{version: version, at: at, bytes: len(raw)}, errors.Wrap(err, "changes: version")
}

// part measures all daemons before and after f.
func (p *Plan) part(ctx context.Context, f func() error) (Spent, error) {
	before, calls, err := p.measure(ctx)
	if err != nil {
		return Spent{}, err
	}
	begun := time.Now()
	if err := f(); err != nil {
		return Spent{}, err
	}
	length := time.Since(begun)
	after, last, err := p.measure(ctx)
	if err != nil {
		return Spent{}, err
	}
	s := spent(before, after)
	s.PlatformCalls = float64(last-calls) / length.Seconds()
	return s, nil
}

func (p *Plan) measure(ctx context.Context) ([]usage, int, error) {
	all := make([]usage, len(p.Daemons))
	for i, d := range p.Daemons {
		u, err := measure(ctx, d)
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
	return all, calls, errors.Wrap(err, "changes: reads")
}

// times reads from the logs when each daemon accepted each change.
func (r *Result) times(p Plan, published []publication) error {
	var each []float64
	last := make([]float64, len(published))
	for _, d := range p.Daemons {
		accepted, err := acceptances(d.Log)
		if err != nil {
			return err
		}
		for i, one := range published {
			at, ok := accepted[one.version]
			if !ok {
				r.Missing++
				continue
			}
			took := float64(at.Sub(one.at).Microseconds()) / 1000
			each = append(each, took)
			last[i] = max(last[i], took)
		}
	}
	r.InForce, r.Each = rangeOf(last), rangeOf(each)
	return nil
}

func acceptances(path string) (map[uint64]time.Time, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "changes: log")
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
	return all, errors.Wrap(lines.Err(), "changes: log")
}
