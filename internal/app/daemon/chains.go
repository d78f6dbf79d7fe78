package daemon

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// parentRun is a request that the local upstream is running, as the parent of the upstream's sub-calls.
type parentRun struct {
	request *call.Request
	account *budget.Account

	mu           sync.Mutex
	openCalls    int
	waitingSince time.Time
	waitedBefore time.Duration
	pressure     float64
}

// callStarted records that the upstream has begun to wait for a sub-call.
func (p *parentRun) callStarted(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCalls == 0 {
		p.waitingSince = now
	}
	p.openCalls++
}

// callEnded records the end of a sub-call and the pressure that its response reported.
func (p *parentRun) callEnded(now time.Time, pressure float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCalls--
	if p.openCalls == 0 {
		p.waitedBefore += now.Sub(p.waitingSince)
	}
	p.pressure = max(p.pressure, pressure)
}

// waited returns how long the upstream has waited for sub-calls, and the highest pressure that their responses reported.
//
// A slow service deep in the call graph slows every service above it. If this time were counted, every hop would lower
// its concurrency limit for a fault that isn't its own, and the whole call path would run far below its capacity.
func (p *parentRun) waited(now time.Time) (time.Duration, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCalls > 0 {
		return p.waitedBefore + now.Sub(p.waitingSince), p.pressure
	}
	return p.waitedBefore, p.pressure
}

// activeRuns maps run tokens to the requests that the local upstream is running.
//
// Without tokens an upstream could name any organisation in its sub-calls. A token is random and carries no data; only
// the daemon that issued it can resolve it, and it is valid only while its request runs.
type activeRuns struct {
	mu      sync.Mutex
	running map[string]*parentRun
}

func newActiveRuns() *activeRuns { return &activeRuns{running: map[string]*parentRun{}} }

func (a *activeRuns) add(r *call.Request, account *budget.Account) (string, *parentRun) {
	token := rand.Text()
	run := &parentRun{request: r, account: account}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[token] = run
	return token, run
}

func (a *activeRuns) remove(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, token)
}

func (a *activeRuns) find(token string) (*parentRun, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run, ok := a.running[token]
	return run, ok
}
