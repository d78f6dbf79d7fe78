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

// Way is one way to reach the upstream, such as directly or through a daemon.
type Way struct {
	Name string
	URL  string
}

// Plan describes a measurement; each way gets the whole rate.
type Plan struct {
	Ways   []Way
	Key    string
	Rate   int
	Length time.Duration
	WarmUp time.Duration
}

// Result holds the latencies of one way in milliseconds, and their difference from the first way's.
//
// Whole counts the complete responses after the warm-up, Failed all failures, also those during it.
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

type wayRun struct {
	way    Way
	client *http.Client

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failures  map[string]int64
}

const (
	maxLatencyMicros   = int64(10 * time.Second / time.Microsecond)
	significantDigits  = 3
	maxIdleConnections = 512
	requestTimeout     = 10 * time.Second
	// sendInterval is the time between batches: requests that fell due since the last one are sent together.
	sendInterval = time.Millisecond
)

// Run sends the plan's requests at a constant rate, independent of the responses; the order of the ways rotates from request
// to request. It also sends those that fell due while the process was not running.
func Run(ctx context.Context, p Plan) ([]Result, error) {
	if len(p.Ways) == 0 || p.Rate <= 0 || p.Length <= 0 {
		return nil, errors.New("latency: plan must have ways, and a rate and a length above 0")
	}
	var wayRuns []*wayRun
	for _, way := range p.Ways {
		wayRuns = append(wayRuns, &wayRun{
			way:       way,
			client:    &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
			latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
			failures:  map[string]int64{},
		})
	}
	send(ctx, p, wayRuns)
	return results(wayRuns), nil
}

func send(ctx context.Context, p Plan, wayRuns []*wayRun) {
	var sending sync.WaitGroup
	defer sending.Wait()
	start := time.Now()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	total := int((p.WarmUp + p.Length).Seconds() * float64(p.Rate))
	for sent := 0; sent < total; {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			measured := now.Sub(start) > p.WarmUp
			for due := min(int(now.Sub(start).Seconds()*float64(p.Rate)), total); sent < due; sent++ {
				for i := range wayRuns {
					w := wayRuns[(sent+i)%len(wayRuns)]
					sending.Go(func() { w.request(p.Key, measured) })
				}
			}
		}
	}
}

func (w *wayRun) request(key string, measured bool) {
	req, err := http.NewRequest(http.MethodPost, w.way.URL, strings.NewReader("vehicle"))
	if err != nil {
		w.countFailure(transportFailure(err))
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	res, err := w.client.Do(req)
	if err != nil {
		w.countFailure(transportFailure(err))
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		w.countFailure(responseFailure(res))
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	elapsed := time.Since(start)
	if err != nil {
		w.countFailure(transportFailure(err))
		return
	}
	if measured {
		w.mu.Lock()
		_ = w.latencies.RecordValue(max(elapsed.Microseconds(), 1))
		w.mu.Unlock()
	}
}

func (w *wayRun) countFailure(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[reason]++
}

func (w *wayRun) failed() int64 {
	total := int64(0)
	for _, count := range w.failures {
		total += count
	}
	return total
}

func results(wayRuns []*wayRun) []Result {
	var all []Result
	for _, w := range wayRuns {
		r := Result{
			Way: w.way.Name, Whole: w.latencies.TotalCount(), Failed: w.failed(), Failures: w.failures, P50Ms: w.percentileMs(50), P99Ms: w.percentileMs(99),
		}
		if len(all) > 0 {
			r.AddedP50Ms, r.AddedP99Ms = r.P50Ms-all[0].P50Ms, r.P99Ms-all[0].P99Ms
		}
		all = append(all, r)
	}
	return all
}

func (w *wayRun) percentileMs(percentile float64) float64 {
	return float64(w.latencies.ValueAtQuantile(percentile)) / 1000
}
