package daemon

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// origin is the running request that an upstream's own calls belong to.
type origin struct {
	request *call.Request
	account *budget.Account

	mu       sync.Mutex
	calls    int
	since    time.Time
	nested   time.Duration
	pressure float64
}

// enter notes that the upstream waits for one of its own calls.
func (o *origin) enter(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == 0 {
		o.since = now
	}
	o.calls++
}

// exit notes the end of one of the upstream's own calls and the pressure that came back with it.
func (o *origin) exit(now time.Time, pressure float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls--
	if o.calls == 0 {
		o.nested += now.Sub(o.since)
	}
	o.pressure = max(o.pressure, pressure)
}

// waited returns how long the upstream waited for its own calls, and the highest pressure that it met.
//
// A slow deep service makes each service above it slow as well. Without this
// time taken out, every hop would lower its own limit for a fault that isn't
// its own, and the whole chain would run at a fraction of what it can.
func (o *origin) waited(now time.Time) (time.Duration, float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls > 0 {
		return o.nested + now.Sub(o.since), o.pressure
	}
	return o.nested, o.pressure
}

// chains maps the tokens given to the upstream to the requests it is running.
//
// An upstream could otherwise name any organisation in its calls. The token
// says nothing by itself, only this daemon resolves it, and it ends with the
// request.
type chains struct {
	mu      sync.Mutex
	running map[string]*origin
}

func newChains() *chains { return &chains{running: map[string]*origin{}} }

func (c *chains) open(r *call.Request, account *budget.Account) (string, *origin) {
	token := rand.Text()
	o := &origin{request: r, account: account}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[token] = o
	return token, o
}

func (c *chains) shut(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, token)
}

func (c *chains) find(token string) (*origin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.running[token]
	return o, ok
}
