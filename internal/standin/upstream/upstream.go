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

// Config is what a stand-in upstream is told at its start.
type Config struct {
	Host    string
	Service string
	Slots   int
	Latency time.Duration
	// Daemon is where the upstream's own calls go.
	Daemon netip.AddrPort
	// Next is the path below the daemon that each request calls on, such as /repairs/notes; empty for none.
	Next string
	// Countdown takes the body as the number of calls below this one, and passes on one less.
	Countdown bool
	// Retries is how often it repeats its own call when that fails, as home-made retry loops do.
	Retries int
	// Lossy closes the connection in place of each answer.
	Lossy bool
	// Trace keeps each run with its time, for as long as the stand-in lives.
	Trace bool
}

// Run is one run of the trace.
type Run struct {
	Organisation string    `json:"organisation"`
	RequestID    string    `json:"requestId"`
	Echo         string    `json:"echo"`
	At           time.Time `json:"at"`
}

// Upstream answers requests with who asked and what was asked, and counts its runs.
type Upstream struct {
	config  Config
	slots   chan struct{}
	latency atomic.Int64
	client  *http.Client

	mu    sync.Mutex
	runs  map[string]int
	keys  map[string]int
	trace []Run
	// held is closed when the runs that are held go on, nil while none are; only runs of heldBody are if it isn't empty.
	held     chan struct{}
	heldBody string
}

// Answer is the JSON body of a stand-in's answer.
type Answer struct {
	Service      string          `json:"service"`
	Host         string          `json:"host"`
	Organisation string          `json:"organisation"`
	RequestID    string          `json:"requestId"`
	Echo         string          `json:"echo"`
	LeakedKey    bool            `json:"leakedKey"`
	Next         json.RawMessage `json:"next,omitempty"`
}

// HeaderServiceTime carries the microseconds that the stand-in spent on the request.
const HeaderServiceTime = "Standin-Service-Micros"

const clientConns = 256

// New returns a stand-in upstream.
func New(c Config) *Upstream {
	u := &Upstream{
		config: c,
		slots:  make(chan struct{}, c.Slots),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConns}},
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
	begun := time.Now()
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
	u.count(r, body)
	if !u.work(r.Context(), string(body)) {
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
	below, on := u.below(body)
	if on {
		next, status, err := u.callOn(r.Context(), r.Header, below)
		if err != nil || status != http.StatusOK {
			http.Error(w, fmt.Sprintf("next: status %d: %v", status, err), http.StatusBadGateway)
			return
		}
		answer.Next = next
	}
	raw, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(time.Since(begun).Microseconds(), 10))
	_, _ = w.Write(raw)
}

// work takes the stand-in's latency, and as long as runs are held; false means that the caller is gone.
func (u *Upstream) work(ctx context.Context, body string) bool {
	select {
	case <-u.holding(body):
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

// holding returns what a run waits for before its latency.
func (u *Upstream) holding(body string) chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.held == nil || u.heldBody != "" && u.heldBody != body {
		return released
	}
	return u.held
}

// released is what a run waits for that is not held.
var released = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// below returns the body of the upstream's own call, or false if it makes none.
func (u *Upstream) below(body []byte) ([]byte, bool) {
	if u.config.Next == "" || !u.config.Countdown {
		return body, u.config.Next != ""
	}
	left, _ := strconv.Atoi(string(body))
	return []byte(strconv.Itoa(left - 1)), left > 0
}

// callOn makes the upstream's own call, and repeats it at once when it fails.
func (u *Upstream) callOn(ctx context.Context, in http.Header, body []byte) (json.RawMessage, int, error) {
	for try := 0; ; try++ {
		raw, status, err := u.callNext(ctx, in, body)
		if (err == nil && status == http.StatusOK) || try == u.config.Retries {
			return raw, status, err
		}
	}
}

func (u *Upstream) callNext(ctx context.Context, in http.Header, body []byte) (json.RawMessage, int, error) {
	url := "http://" + u.config.Daemon.String() + u.config.Next
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set(wire.HeaderToken, in.Get(wire.HeaderToken))
	res, err := u.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return raw, res.StatusCode, err
}

func (u *Upstream) count(r *http.Request, body []byte) {
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
		http.Error(w, "latency must be whole milliseconds", http.StatusBadRequest)
		return
	}
	u.latency.Store(int64(time.Duration(ms) * time.Millisecond))
	fmt.Fprintln(w, ms)
}

// serveHold holds runs from now on, those of the body alone if one is given.
func (u *Upstream) serveHold(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.held == nil {
		u.held = make(chan struct{})
	}
	u.heldBody = r.URL.Query().Get("body")
	fmt.Fprintln(w, "held")
}

func (u *Upstream) serveRelease(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.held != nil {
		close(u.held)
		u.held = nil
	}
	fmt.Fprintln(w, "released")
}
