package daemon

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// parentRun is the running request that an upstream's own calls belong to.
type parentRun struct {
	request *call.Request
	account *budget.Account

	mu           sync.Mutex
	openCalls    int
	waitingSince time.Time
	waitedBefore time.Duration
	pressure     float64
}

// callStarted notes that the upstream waits for one of its own calls.
func (o *parentRun) callStarted(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openCalls == 0 {
		o.waitingSince = now
	}
	o.openCalls++
}

// callEnded notes the end of one of the upstream's own calls and the pressure that came back with it.
func (o *parentRun) callEnded(now time.Time, pressure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openCalls--
	if o.openCalls == 0 {
		o.waitedBefore += now.Sub(o.waitingSince)
	}
	o.pressure = max(o.pressure, pressure)
}

// waited returns how long the upstream waited for its own calls, and the highest pressure that it met.
//
// A slow deep service makes each service above it slow as well. Without this
// time taken out, every hop would lower its own limit for a fault that isn't
// its own, and the whole chain would run at a fraction of what it can.
func (o *parentRun) waited(now time.Time) (time.Duration, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openCalls > 0 {
		return o.waitedBefore + now.Sub(o.waitingSince), o.pressure
	}
	return o.waitedBefore, o.pressure
}

// activeRuns maps the tokens given to the upstream to the requests it is running.
//
// An upstream could otherwise name any organisation in its calls. The token
// says nothing by itself, only this daemon resolves it, and it ends with the
// request.
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
