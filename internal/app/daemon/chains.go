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
func (o *parentRun) callStarted(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openCalls == 0 {
		o.waitingSince = now
	}
	o.openCalls++
}

// callEnded records the end of a sub-call and the pressure that its response reported.
func (o *parentRun) callEnded(now time.Time, pressure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openCalls--
	if o.openCalls == 0 {
		o.waitedBefore += now.Sub(o.waitingSince)
	}
	o.pressure = max(o.pressure, pressure)
}

// waited returns how long the upstream has waited for sub-calls, and the highest pressure that their responses reported.
//
// A slow service deep in the call graph slows every service above it. If this time were counted, every hop would lower
// its concurrency limit for a fault that isn't its own, and the whole call path would run far below its capacity.
func (o *parentRun) waited(now time.Time) (time.Duration, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openCalls > 0 {
		return o.waitedBefore + now.Sub(o.waitingSince), o.pressure
	}
	return o.waitedBefore, o.pressure
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

func (c *activeRuns) add(r *call.Request, account *budget.Account) (string, *parentRun) {
	token := rand.Text()
	o := &parentRun{request: r, account: account}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[token] = o
	return token, o
}

func (c *activeRuns) remove(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, token)
}

func (c *activeRuns) find(token string) (*parentRun, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.running[token]
	return o, ok
}
