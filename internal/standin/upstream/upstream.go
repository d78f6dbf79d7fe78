package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	wire "github.com/foxtailhook/foxtailhook/internal/wire/upstream"
)

// Config is the configuration of a stand-in upstream.
type Config struct {
	Host    string
	Service string
	Slots   int
	Latency time.Duration
	// Daemon is the address of the daemon to which sub-calls are sent.
	Daemon netip.AddrPort
	// Next is the path of the sub-call that each request makes through the daemon, such as /repairs/notes; empty for none.
	Next string
	// Countdown reads the body as the remaining depth of sub-calls, and sends one less with the sub-call.
	Countdown bool
	// Retries is how often a failed sub-call is retried, at once and without a budget, as an application's own retry loop would.
	Retries int
	// Lossy runs each request and then closes the connection instead of responding.
	Lossy bool
	// Trace keeps a record of each run, for the whole life of the stand-in.
	Trace bool
}

// Run is one entry of the trace.
type Run struct {
	Organisation string    `json:"organisation"`
	RequestID    string    `json:"requestId"`
	Echo         string    `json:"echo"`
	At           time.Time `json:"at"`
}

// Upstream echoes each request with its organisation, and counts its runs.
type Upstream struct {
	config  Config
	slots   chan struct{}
	latency atomic.Int64
	client  *http.Client

	mu    sync.Mutex
	runs  map[string]int
	keys  map[string]int
	trace []Run
	// release is closed to let held runs continue, and nil while none are held; if heldBody isn't empty, only runs with that body
	// are held.
	release  chan struct{}
	heldBody string
}

// Answer is the JSON body of a stand-in's response.
type Answer struct {
	Service      string          `json:"service"`
	Host         string          `json:"host"`
	Organisation string          `json:"organisation"`
	RequestID    string          `json:"requestId"`
	Echo         string          `json:"echo"`
	LeakedKey    bool            `json:"leakedKey"`
	Next         json.RawMessage `json:"next,omitempty"`
}

// HeaderServiceTime carries the microseconds that the stand-in spent on the request, sub-calls included.
const HeaderServiceTime = "Standin-Service-Micros"

const maxIdleConns = 256

// New returns a stand-in upstream.
func New(c Config) *Upstream {
	u := &Upstream{
		config: c,
		slots:  make(chan struct{}, c.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		runs:   map[string]int{},
		keys:   map[string]int{},
	}
	u.latency.Store(int64(c.Latency))
	return u
}

// Handler returns the stand-in's HTTP interface.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /standin/load", u.serveLoad)
	mux.HandleFunc("GET /standin/runs", u.serveRuns)
	mux.HandleFunc("GET /standin/keys", u.serveKeys)
	mux.HandleFunc("GET /standin/trace", u.serveTrace)
	mux.HandleFunc("POST /standin/latency/{ms}", u.serveLatency)
	mux.HandleFunc("POST /standin/hold", u.serveHold)
	mux.HandleFunc("POST /standin/release", u.serveRelease)
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case u.slots <- struct{}{}:
	default:
		w.Header().Set(wire.HeaderOutcome, "notRun")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.recordRun(r, body)
	if !u.waitLatency(r.Context(), string(body)) {
		return
	}
	answer := Answer{
		Service: u.config.Service, Host: u.config.Host,
		Organisation: r.Header.Get(wire.HeaderOrganisation), RequestID: r.Header.Get(wire.HeaderRequestID),
		Echo: string(body), LeakedKey: r.Header.Get("Authorization") != "",
	}
	if u.config.Lossy {
		panic(http.ErrAbortHandler)
	}
	subcallBody, hasSubcall := u.subcall(body)
	if hasSubcall {
		next, status, err := u.callWithRetries(r.Context(), r.Header, subcallBody)
		if err != nil || status != http.StatusOK {
			http.Error(w, fmt.Sprintf("next: status %d: %v", status, err), http.StatusBadGateway)
			return
		}
		answer.Next = next
	}
	raw, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(time.Since(start).Microseconds(), 10))
	_, _ = w.Write(raw)
}

// waitLatency waits while the run is held and then for the configured latency; it returns false if the caller cancels the request.
func (u *Upstream) waitLatency(ctx context.Context, body string) bool {
	select {
	case <-u.releaseOf(body):
	case <-ctx.Done():
		return false
	}
	select {
	case <-time.After(time.Duration(u.latency.Load())):
	case <-ctx.Done():
		return false
	}
	return true
}

// releaseOf returns the channel whose closing lets a run with this body continue.
func (u *Upstream) releaseOf(body string) chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.release == nil || u.heldBody != "" && u.heldBody != body {
		return notHeld
	}
	return u.release
}

// notHeld is the closed channel for runs that are not held.
var notHeld = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// subcall returns the body of the request's sub-call, or false if it makes none.
func (u *Upstream) subcall(body []byte) ([]byte, bool) {
	if u.config.Next == "" || !u.config.Countdown {
		return body, u.config.Next != ""
	}
	remaining, _ := strconv.Atoi(string(body))
	return []byte(strconv.Itoa(remaining - 1)), remaining > 0
}

// callWithRetries makes a sub-call, and retries it at once when it fails.
func (u *Upstream) callWithRetries(ctx context.Context, header http.Header, body []byte) (json.RawMessage, int, error) {
	for attempt := 0; ; attempt++ {
		raw, status, err := u.callNext(ctx, header, body)
		if (err == nil && status == http.StatusOK) || attempt == u.config.Retries {
			return raw, status, err
		}
	}
}

func (u *Upstream) callNext(ctx context.Context, header http.Header, body []byte) (json.RawMessage, int, error) {
	url := "http://" + u.config.Daemon.String() + u.config.Next
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set(wire.HeaderToken, header.Get(wire.HeaderToken))
	res, err := u.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return raw, res.StatusCode, err
}

func (u *Upstream) recordRun(r *http.Request, body []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.config.Trace {
		u.trace = append(u.trace, Run{
			Organisation: r.Header.Get(wire.HeaderOrganisation), RequestID: r.Header.Get(wire.HeaderRequestID),
			Echo: string(body), At: time.Now(),
		})
	}
	u.runs[r.Header.Get(wire.HeaderRequestID)]++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.keys[key]++
	}
}

func (u *Upstream) serveRuns(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.runs)
}

func (u *Upstream) serveKeys(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.keys)
}

func (u *Upstream) serveTrace(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.trace)
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int{"inFlight": len(u.slots), "slots": cap(u.slots)})
}

func (u *Upstream) serveLatency(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.Atoi(r.PathValue("ms"))
	if err != nil || ms < 0 {
		http.Error(w, "latency must be a whole number of milliseconds of at least 0", http.StatusBadRequest)
		return
	}
	u.latency.Store(int64(time.Duration(ms) * time.Millisecond))
	fmt.Fprintln(w, ms)
}

// serveHold holds later runs until serveRelease; if a body is given, only those with that body.
func (u *Upstream) serveHold(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.release == nil {
		u.release = make(chan struct{})
	}
	u.heldBody = r.URL.Query().Get("body")
	fmt.Fprintln(w, "held")
}

func (u *Upstream) serveRelease(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.release != nil {
		close(u.release)
		u.release = nil
	}
	fmt.Fprintln(w, "released")
}
