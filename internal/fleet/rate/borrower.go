package rate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Borrower spends the tokens that homes lent to this daemon, and decides when to ask for
// more. It is safe for concurrent use. It has state only for organisations with recent requests.
type Borrower struct {
	mu            sync.Mutex
	name          string
	incarnation   uint64
	limits        Limits
	version       uint64
	roster        roster
	plans         plans
	caches        map[string]*tokenCache
	lastAccountID uint64
	tickedAt      time.Time
	// ownHome is the home in this process, the zero value if there is none; homeOffset makes borrowers start at different homes.
	ownHome    Member
	homeOffset uint64
}

// Ask is a lease request to a home.
type Ask struct {
	Home    Member
	Message LeaseAsk
}

// Spending is the outcome of an attempt to spend a token.
type Spending uint8

const (
	// Spent means that a token was taken.
	Spent Spending = iota
	// Dry means that this daemon has no token, and that homes may have some.
	Dry
	// Refused means that no token is available before the returned wait has passed.
	Refused
)

// NewBorrower returns a borrower without tokens; name and incarnation together are unique to the process.
func NewBorrower(name string, incarnation uint64, l Limits) *Borrower {
	return &Borrower{name: name, incarnation: incarnation, limits: l, caches: map[string]*tokenCache{}, homeOffset: xxhash.Sum64String(name)}
}

// SetOwn sets the home in the same process, which is asked first since that costs no message.
func (b *Borrower) SetOwn(own Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownHome = own
}

// SetList sets the members that may be homes.
func (b *Borrower) SetList(version uint64, members []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.version {
		b.version, b.roster = version, newRoster(members)
	}
}

// SetPlans replaces the organisations' rates and bursts.
func (b *Borrower) SetPlans(organisations []lists.Organisation) {
	next := newPlans(organisations)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plans = next
	for name, c := range b.caches {
		o, listed := b.plans.find(name)
		if !listed {
			delete(b.caches, name)
		} else if o != c.plan {
			c.plan, c.version = o, 0
		}
	}
}

// Spend takes a token of the organisation, or returns the time until one may be available.
//
// The time must be read right before the call: with an older time, a process that was paused
// in between would spend what its home has already counted as spent.
func (b *Borrower) Spend(organisation string, now time.Time) (Token, Spending, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cache(organisation, now)
	if !ok {
		return Token{}, Refused, unlistedWait
	}
	c.recordArrival(now)
	if t, ok := c.spend(now); ok {
		return t, Spent, 0
	}
	if now.Before(c.emptyUntil) {
		return Token{}, Refused, c.emptyUntil.Sub(now)
	}
	return Token{}, Dry, 0
}

// Arrived counts a request that joins those waiting for a lease reply.
func (b *Borrower) Arrived(organisation string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.cache(organisation, now); ok {
		c.recordArrival(now)
	}
}

// Take spends a token for a request that waited for one. As for Spend, the time must be read right before the call.
func (b *Borrower) Take(organisation string, now time.Time) (Token, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cache(organisation, now)
	if !ok {
		return Token{}, false
	}
	return c.spend(now)
}

// cache returns the state of the organisation, or false if it has no plan.
func (b *Borrower) cache(organisation string, now time.Time) (*tokenCache, bool) {
	c, ok := b.caches[organisation]
	if !ok {
		o, listed := b.plans.find(organisation)
		if !listed {
			return nil, false
		}
		c = &tokenCache{plan: o, accounts: map[Member]*account{}, usedAt: now, retrySchedule: comeback.New()}
		b.caches[organisation] = c
	}
	c.findHomes(b.version, &b.roster, b.limits.Shards, b.homeOffset)
	return c, true
}

// Urgent returns the lease request to a home for waiting requests; false means that none is
// needed or that the home did not reply lately. It asks for a token for each waiting request:
// otherwise a burst at one daemon would be refused while its home has tokens.
func (b *Borrower) Urgent(organisation string, home Member, waiting int, need Need, now time.Time) (Ask, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cache(organisation, now)
	if !ok {
		return Ask{}, false
	}
	a := b.account(c, home, now)
	if now.Before(a.slowUntil) {
		return Ask{}, false
	}
	want := max(partsOf(max(1, waiting)), c.stockTarget()) - c.available(now)
	if want <= 0 {
		return Ask{}, false
	}
	if need == Gathering {
		c.gatheredAt = now
	}
	return b.newAsk(home, b.newItem(c, a, want, need)), true
}

// Homes returns the homes of the organisation's shards in the order in which to ask them.
func (b *Borrower) Homes(organisation string, now time.Time) []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.cache(organisation, now)
	if !ok || len(c.homes) == 0 {
		return nil
	}
	return b.homeOrder(c)
}

// RanDry records that the homes together had no token. Until they may have one, requests are
// refused without asking, each time for longer while none is granted.
func (b *Borrower) RanDry(organisation string, wait time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.cache(organisation, now); ok {
		missing := (partsPerToken - c.available(now)).tokens()
		wait = min(wait, time.Duration(c.refillSeconds(missing/float64(c.plan.Burst))*float64(time.Second)))
		c.emptyUntil = now.Add(min(max(wait, minEmptyTime<<c.emptyCount), maxEmptyTime))
		c.emptyCount = min(c.emptyCount+1, maxEmptyDoublings)
	}
}

// account returns the open account at a home, opening one if there is none.
func (b *Borrower) account(c *tokenCache, home Member, now time.Time) *account {
	a, ok := c.accounts[home]
	if ok && (a.birth == 0 || now.Before(a.expires)) {
		return a
	}
	b.lastAccountID++
	next := &account{id: b.lastAccountID, openedAt: now}
	if ok {
		next.slowUntil = a.slowUntil
	}
	c.accounts[home] = next
	return next
}

// newItem returns the part of a lease request for one account, which reports what was spent and returned.
func (b *Borrower) newItem(c *tokenCache, a *account, want Parts, need Need) LeaseItem {
	a.seq++
	a.reported = a.spent
	a.prefetchWanted = 0
	if need == Ahead {
		a.prefetchWanted = want
	}
	return LeaseItem{
		Organisation: c.plan.Organisation, Account: a.id, Birth: a.birth, Seq: a.seq,
		Spent: a.spent, Returned: a.returned, Want: want, Need: need,
	}
}

func (b *Borrower) newAsk(home Member, items ...LeaseItem) Ask {
	return Ask{Home: home, Message: LeaseAsk{Borrower: b.name, Incarnation: b.incarnation, Items: items}}
}

// Hear applies a home's reply to a lease request that was sent at the given time,
// and returns the shortest wait in it.
func (b *Borrower) Hear(home Member, reply LeaseReply, asked, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := maxWait
	for _, g := range reply.Items {
		wait = min(wait, g.Wait)
		c, ok := b.caches[g.Organisation]
		if !ok {
			continue
		}
		if a := c.accounts[home]; a != nil && a.id == g.Account {
			b.applyGrant(c, home, a, g, reply.Incarnation, asked, now)
		}
	}
	return wait
}

// applyGrant adds what was granted. The loan's time starts when the request was sent;
// the home counts from its reply, so the borrower stops first.
func (b *Borrower) applyGrant(c *tokenCache, home Member, a *account, g LeaseGrant, incarnation uint64, asked, now time.Time) {
	if g.Closed || (a.birth != 0 && (a.birth != g.Birth || a.homeIncarnation != incarnation)) {
		delete(c.accounts, home)
		return
	}
	before := a.available(now)
	a.birth, a.homeIncarnation = g.Birth, incarnation
	a.granted = max(a.granted, g.Granted)
	a.expires = later(a.expires, asked.Add(b.limits.Loan))
	if a.available(now)-before >= partsPerToken {
		c.preferHome(home)
		c.emptyUntil, c.prefetchFrom = time.Time{}, time.Time{}
		return
	}
	if a.prefetchWanted > 0 {
		a.noPrefetchUntil, c.prefetchFrom = now.Add(homePrefetchPause), now.Add(prefetchPause)
		c.cursor++
	}
}

// preferHome makes the next lease request go to a home that had tokens.
func (c *tokenCache) preferHome(home Member) {
	for i, h := range c.homes {
		if h == home {
			c.cursor = i
		}
	}
}

// Lost records that a home did not reply in time.
func (b *Borrower) Lost(ask Ask, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, item := range ask.Message.Items {
		if c, ok := b.caches[item.Organisation]; ok {
			if a := c.accounts[ask.Home]; a != nil {
				a.slowUntil = now.Add(slowHomePause)
			}
		}
	}
}

// Purses returns the number of organisations with recent requests and of the tokens available to them here.
func (b *Borrower) Purses(now time.Time) (organisations, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.caches {
		tokens += int(c.available(now) / partsPerToken)
	}
	return len(b.caches), tokens
}

// Stock returns the number of the organisation's tokens available here.
func (b *Borrower) Stock(organisation string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.caches[organisation]
	if !ok {
		return 0
	}
	return int(c.available(now) / partsPerToken)
}
