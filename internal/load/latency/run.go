package latency

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Way is one way to the upstream.
type Way struct {
	Name string
	URL  string
}

// Plan is one measurement; each way gets the whole rate.
type Plan struct {
	Ways   []Way
	Key    string
	Rate   int
	Length time.Duration
	WarmUp time.Duration
}

// Result is what one way took, in milliseconds, and what it added to the first way.
type Result struct {
	Way        string           `json:"way"`
	Whole      int64            `json:"whole"`
	Failed     int64            `json:"failed"`
	Failures   map[string]int64 `json:"failures,omitempty"` // by outcome and reason
	P50Ms      float64          `json:"p50Ms"`
	P99Ms      float64          `json:"p99Ms"`
	AddedP50Ms float64          `json:"addedP50Ms"`
	AddedP99Ms float64          `json:"addedP99Ms"`
}

type lane struct {
	way    Way
	client *http.Client

	mu       sync.Mutex
	times    *hdrhistogram.Histogram
	failures map[string]int64
}

const (
	slowest = int64(10 * time.Second / time.Microsecond)
	digits  = 3
	conns   = 512
	timeout = 10 * time.Second
	// beat is how often requests are sent; those due since the last beat go out together.
	beat = time.Millisecond
)

// Run sends the plan's requests at a steady rate, whatever comes back; the ways take turns within each beat.
// All of them are sent, also those that were due while the process stood still.
func Run(ctx context.Context, p Plan) ([]Result, error) {
	if len(p.Ways) == 0 || p.Rate <= 0 || p.Length <= 0 {
		return nil, errors.New("latency: needs ways, a rate and a length")
	}
	var lanes []*lane
	for _, w := range p.Ways {
		lanes = append(lanes, &lane{
			way:      w,
			client:   &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: conns}},
			times:    hdrhistogram.New(1, slowest, digits),
			failures: map[string]int64{},
		})
	}
	send(ctx, p, lanes)
	return results(lanes), nil
}

func send(ctx context.Context, p Plan, lanes []*lane) {
	var sending sync.WaitGroup
	defer sending.Wait()
	begun := time.Now()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	total := int((p.WarmUp + p.Length).Seconds() * float64(p.Rate))
	for sent := 0; sent < total; {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			counts := now.Sub(begun) > p.WarmUp
			for due := min(int(now.Sub(begun).Seconds()*float64(p.Rate)), total); sent < due; sent++ {
				for i := range lanes {
					l := lanes[(sent+i)%len(lanes)]
					sending.Go(func() { l.request(p.Key, counts) })
				}
			}
		}
	}
}

func (l *lane) request(key string, counts bool) {
	req, err := http.NewRequest(http.MethodPost, l.way.URL, strings.NewReader("vehicle"))
	if err != nil {
		l.fail(broken(err))
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	begun := time.Now()
	res, err := l.client.Do(req)
	if err != nil {
		l.fail(broken(err))
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		l.fail(refused(res))
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	took := time.Since(begun)
	if err != nil {
		l.fail(broken(err))
		return
	}
	if counts {
		l.mu.Lock()
		_ = l.times.RecordValue(max(took.Microseconds(), 1))
		l.mu.Unlock()
	}
}

func (l *lane) fail(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[why]++
}

func (l *lane) failed() int64 {
	total := int64(0)
	for _, count := range l.failures {
		total += count
	}
	return total
}

func results(lanes []*lane) []Result {
	var all []Result
	for _, l := range lanes {
		r := Result{
			Way: l.way.Name, Whole: l.times.TotalCount(), Failed: l.failed(), Failures: l.failures, P50Ms: l.at(50), P99Ms: l.at(99),
		}
		if len(all) > 0 {
			r.AddedP50Ms, r.AddedP99Ms = r.P50Ms-all[0].P50Ms, r.P99Ms-all[0].P99Ms
		}
		all = append(all, r)
	}
	return all
}

func (l *lane) at(quantile float64) float64 {
	return float64(l.times.ValueAtQuantile(quantile)) / 1000
}
