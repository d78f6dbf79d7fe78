package daemon

import (
	"crypto/rand"
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/decide/budget"
	"github.com/foxtailhook/foxtailhook/internal/domain/call"
)

// origin is the running request that an upstream's own calls belong to.
type origin struct {
	request *call.Request
	account *budget.Account
}

// chains maps the tokens given to the upstream to the requests it is running.
//
// An upstream could otherwise name any organisation in its calls. The token
// says nothing by itself, only this daemon resolves it, and it ends with the
// request.
type chains struct {
	mu      sync.Mutex
	running map[string]origin
}

func newChains() *chains { return &chains{running: map[string]origin{}} }

func (c *chains) open(r *call.Request, account *budget.Account) string {
	token := rand.Text()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[token] = origin{request: r, account: account}
	return token
}

func (c *chains) shut(token string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, token)
}

func (c *chains) find(token string) (origin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.running[token]
	return o, ok
}
