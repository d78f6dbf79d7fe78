package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/standin/upstream"
	wire "github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Runner runs one plan.
type Runner struct {
	plan     *Plan
	client   *http.Client
	tally    *tally
	progress io.Writer
	start    time.Time
	timeline timeline

	mu        sync.Mutex
	withdrawn map[string]time.Time
}

const (
	maxIdleConnections = 512
	// withdrawalGrace is how long a withdrawn key may still be accepted.
	withdrawalGrace     = 3 * time.Second
	defaultTimeout      = 5 * time.Second
	clientTimeoutMargin = 2 * time.Second
)

// NewRunner returns a runner that writes its progress as text.
func NewRunner(plan *Plan, progress io.Writer) *Runner {
	return &Runner{
		plan:      plan,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		tally:     newTally(),
		progress:  progress,
		withdrawn: map[string]time.Time{},
	}
}

// Run sends the plan's traffic and returns its result; the error lists responses that are wrong or belong to other requests.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.plan.Length))
	defer cancel()
	r.start = time.Now()
	r.timeline.start = r.start
	var streams, background sync.WaitGroup
	for i := range r.plan.Streams {
		streams.Go(func() { r.runStream(ctx, &r.plan.Streams[i]) })
	}
	background.Go(func() { r.runEvents(ctx) })
	background.Go(func() { r.writeProgress(ctx) })
	streams.Wait()
	background.Wait()
	return r.finalResult()
}

func (r *Runner) finalResult() (Result, error) {
	result := r.tally.snapshot()
	for reason, count := range r.tally.reasons {
		fmt.Fprintf(r.progress, "  %-40s %d\n", reason, count)
	}
	if sum := result.Whole + result.Refused + result.Unknown; sum != result.Sent {
		return result, errors.Errorf("traffic: sent %d, but whole + refused + unknown is %d", result.Sent, sum)
	}
	if len(r.tally.violations) > 0 {
		return result, errors.Errorf("traffic: wrong responses: %s", strings.Join(r.tally.violations, "; "))
	}
	return result, nil
}

func (r *Runner) runStream(ctx context.Context, s *Stream) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.Rate))
	defer tick.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			sending.Go(func() { r.send(s, number) })
		}
	}
}

func (r *Runner) send(s *Stream, number int) {
	nonce := fmt.Sprintf("%s-%d-%d", s.Organisation, number, rand.Uint64())
	nonce += strings.Repeat(".", max(s.BodyBytes-len(nonce), 0))
	timeout := time.Duration(s.Timeout)
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+clientTimeoutMargin)
	defer cancel()
	r.tally.update(func(t *Result) { t.Sent++ })
	sent := time.Now()
	res, body, err := r.request(ctx, s, nonce, timeout)
	r.timeline.add(sent, outcomeOf(res, err), time.Since(sent))
	if err != nil {
		r.tally.update(func(t *Result) { t.Unknown++ })
		r.tally.countReason(s.Organisation, "transport")
		return
	}
	r.checkResponse(s, nonce, sent, res, body)
}

func (r *Runner) request(ctx context.Context, s *Stream, nonce string, timeout time.Duration) (*http.Response, []byte, error) {
	daemon := r.plan.Daemons[rand.IntN(len(r.plan.Daemons))]
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+daemon.String()+s.Path, strings.NewReader(nonce))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set(wire.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	res, err := r.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

func (r *Runner) checkResponse(s *Stream, nonce string, sent time.Time, res *http.Response, body []byte) {
	switch res.Header.Get(wire.HeaderOutcome) {
	case call.Whole.String():
		r.tally.update(func(t *Result) { t.Whole++ })
		r.checkWhole(s, nonce, sent, res, body)
	case call.NotRun.String():
		r.tally.update(func(t *Result) { t.Refused++ })
		r.checkRefusal(s, body)
	case call.Unknown.String():
		r.tally.update(func(t *Result) { t.Unknown++ })
		r.tally.countReason(s.Organisation, "unknown")
	default:
		r.tally.update(func(t *Result) { t.Unknown++ })
		r.tally.recordViolation(fmt.Sprintf("%s: response with status %d names no known outcome", s.Organisation, res.StatusCode))
	}
}

func (r *Runner) checkWhole(s *Stream, nonce string, sent time.Time, res *http.Response, body []byte) {
	elapsed := time.Since(sent)
	if withdrawnAt, ok := r.withdrawal(s.Organisation); ok && sent.Sub(withdrawnAt) > withdrawalGrace {
		r.tally.update(func(t *Result) { t.AfterWithdrawal++ })
	}
	if res.StatusCode != http.StatusOK {
		r.tally.countReason(s.Organisation, fmt.Sprintf("status %d", res.StatusCode))
		return
	}
	var answer upstream.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		r.tally.recordViolation(fmt.Sprintf("%s: response stated as whole is not valid JSON: %v", s.Organisation, err))
		return
	}
	if answer.Echo != nonce || answer.Organisation != s.Organisation || answer.LeakedKey {
		r.tally.recordViolation(fmt.Sprintf("%s: response belongs to another request, or the key reached the upstream: %.80s", s.Organisation, body))
	}
	micros, err := strconv.ParseInt(res.Header.Get(upstream.HeaderServiceTime), 10, 64)
	if err == nil && s.Measured && time.Since(r.start) < time.Duration(r.plan.QuietUntil) {
		r.tally.addLatency(elapsed - time.Duration(micros)*time.Microsecond)
	}
}

func (r *Runner) checkRefusal(s *Stream, body []byte) {
	var refusal struct {
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(body, &refusal)
	r.tally.countReason(s.Organisation, refusal.Reason)
	_, withdrawn := r.withdrawal(s.Organisation)
	if s.WithinRate && !(withdrawn && refusal.Reason == call.UnknownKey.String()) {
		r.tally.update(func(t *Result) { t.WrongfulRefusals++ })
	}
}

func (r *Runner) withdrawal(organisation string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.withdrawn[organisation]
	return t, ok
}

func (r *Runner) runEvents(ctx context.Context) {
	for _, e := range r.plan.Events {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(time.Duration(e.At)))):
		}
		fmt.Fprintf(r.progress, "  %5s  %s\n", time.Duration(e.At), e.Note)
		if err := SendOperatorRequest(ctx, e.Method, e.URL, e.File); err != nil {
			r.tally.recordViolation(fmt.Sprintf("event %q: %v", e.Note, err))
		}
		if e.Withdraws != "" {
			r.mu.Lock()
			r.withdrawn[e.Withdraws] = time.Now()
			r.mu.Unlock()
		}
	}
}

const progressInterval = 3 * time.Second

func (r *Runner) writeProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			result := r.tally.snapshot()
			fmt.Fprintf(r.progress, "  %5s  sent %d, whole %d, refused %d, unknown %d\n",
				time.Since(r.start).Round(time.Second), result.Sent, result.Whole, result.Refused, result.Unknown)
		}
	}
}

// SendOperatorRequest sends one operator's request, with a file as its body if one is named; any status but 200 is an error.
func SendOperatorRequest(ctx context.Context, method, url, file string) error {
	var raw []byte
	if file != "" {
		read, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "traffic: read body")
		}
		raw = read
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(raw)))
	if err != nil {
		return errors.Wrap(err, "traffic: build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "traffic: send request")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("traffic: %s %s: status %d, expected 200", method, url, res.StatusCode)
	}
	return nil
}

// AwaitReady waits until every address responds to /healthz with 200; the error names the first that did not before ctx
// ended.
func AwaitReady(ctx context.Context, operators []netip.AddrPort) error {
	for _, address := range operators {
		for SendOperatorRequest(ctx, http.MethodGet, "http://"+address.String()+"/healthz", "") != nil {
			select {
			case <-ctx.Done():
				return errors.Errorf("traffic: %s did not respond to /healthz with status 200 in time", address)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
