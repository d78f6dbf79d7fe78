package rate

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Borrower spends the tokens that homes lent to this daemon, and decides when
// to ask for more. Traffic threads share it; it has state only for
// organisations that were seen lately.
type Borrower struct {
	mu          sync.Mutex
	name        string
	incarnation uint64
	limits      Limits
	version     uint64
	roster      roster
	plans       plans
	purses      map[string]*purse
	accounts    uint64
	ticked      time.Time
	// own is the home in this process, none where it is zero; start spreads the first questions.
	own   Member
	start uint64
}

// Ask is a question to a home.
type Ask struct {
	Home    Member
	Message LeaseAsk
}

// Spending is the outcome of an attempt to spend a token.
type Spending uint8

const (
	// Spent means that a token was taken.
	Spent Spending = iota
	// Dry means that no token is here, and that homes may have some.
	Dry
	// Refused means that no token is to be had before the time that is told.
	Refused
)

// NewBorrower returns a borrower without tokens; the name and incarnation are unique to the process.
func NewBorrower(name string, incarnation uint64, l Limits) *Borrower {
	return &Borrower{name: name, incarnation: incarnation, limits: l, purses: map[string]*purse{}, start: xxhash.Sum64String(name)}
}

// SetOwn names the home in the same process, which is asked first since that costs no message.
func (b *Borrower) SetOwn(own Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own = own
}

// SetList takes over the members that may be homes.
func (b *Borrower) SetList(version uint64, members []Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.version {
		b.version, b.roster = version, newRoster(members)
	}
}

// SetPlans takes over the organisations' rates and bursts.
func (b *Borrower) SetPlans(organisations []lists.Organisation) {
	next := newPlans(organisations)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plans = next
	for name, p := range b.purses {
		o, listed := b.plans.find(name)
		if !listed {
			delete(b.purses, name)
		} else if o != p.plan {
			p.plan, p.version = o, 0
		}
	}
}

// Spend takes a token of the organisation, or tells when to come back.
//
// The time must be read right before: a process that was paused since then
// would spend what its home has already counted as spent.
func (b *Borrower) Spend(organisation string, now time.Time) (Token, Spending, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purse(organisation, now)
	if !ok {
		return Token{}, Refused, noTokenWait
	}
	p.arrive(now)
	if t, ok := p.spend(now); ok {
		return t, Spent, 0
	}
	if now.Before(p.dryUntil) {
		return Token{}, Refused, p.dryUntil.Sub(now)
	}
	return Token{}, Dry, 0
}

// Arrived counts a request that joins those waiting for an answer.
func (b *Borrower) Arrived(organisation string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.purse(organisation, now); ok {
		p.arrive(now)
	}
}

// Take spends a token for a request that waited for one; like Spend, it is given the time of this moment.
func (b *Borrower) Take(organisation string, now time.Time) (Token, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purse(organisation, now)
	if !ok {
		return Token{}, false
	}
	return p.spend(now)
}

func (b *Borrower) purse(organisation string, now time.Time) (*purse, bool) {
	p, ok := b.purses[organisation]
	if !ok {
		o, listed := b.plans.find(organisation)
		if !listed {
			return nil, false
		}
		p = &purse{plan: o, accounts: map[Member]*account{}, used: now, back: comeback.New()}
		b.purses[organisation] = p
	}
	p.find(b.version, &b.roster, b.limits.Shards, b.start)
	return p, true
}

// Urgent returns the question that waiting requests ask of a home; false means
// that the home did not answer lately. It asks for a token for each that
// waits: a burst at one daemon would else be refused while its home is full.
func (b *Borrower) Urgent(organisation string, home Member, waiting int, need Need, now time.Time) (Ask, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purse(organisation, now)
	if !ok {
		return Ask{}, false
	}
	a := b.account(p, home, now)
	if now.Before(a.slow) {
		return Ask{}, false
	}
	want := max(whole(max(1, waiting)), p.target()) - p.left(now)
	if want <= 0 {
		return Ask{}, false
	}
	if need == Gathering {
		p.gathered = now
	}
	return b.ask(home, b.item(p, a, want, need)), true
}

// Homes returns the homes of the organisation's shards, the one to ask first in front.
func (b *Borrower) Homes(organisation string, now time.Time) []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purse(organisation, now)
	if !ok || len(p.homes) == 0 {
		return nil
	}
	return b.order(p)
}

// RanDry notes that the homes together had no token; until they may have one, requests are
// refused without asking, each time longer while nothing comes.
func (b *Borrower) RanDry(organisation string, wait time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.purse(organisation, now); ok {
		missing := (perToken - p.left(now)).tokens()
		wait = min(wait, time.Duration(p.filling(missing/float64(p.plan.Burst))*float64(time.Second)))
		p.dryUntil = now.Add(min(max(wait, leastDry<<p.dries), mostDry))
		p.dries = min(p.dries+1, mostDries)
	}
}

// account returns the open account at a home, opening one if there is none.
func (b *Borrower) account(p *purse, home Member, now time.Time) *account {
	a, ok := p.accounts[home]
	if ok && (a.birth == 0 || now.Before(a.expires)) {
		return a
	}
	b.accounts++
	next := &account{id: b.accounts, opened: now}
	if ok {
		next.slow = a.slow
	}
	p.accounts[home] = next
	return next
}

func (b *Borrower) item(p *purse, a *account, want Parts, need Need) LeaseItem {
	a.seq++
	a.told = a.spent
	a.wanted = 0
	if need == Ahead {
		a.wanted = want
	}
	return LeaseItem{
		Organisation: p.plan.Organisation, Account: a.id, Birth: a.birth, Seq: a.seq,
		Spent: a.spent, Returned: a.returned, Want: want, Need: need,
	}
}

func (b *Borrower) ask(home Member, items ...LeaseItem) Ask {
	return Ask{Home: home, Message: LeaseAsk{Borrower: b.name, Incarnation: b.incarnation, Items: items}}
}

// Hear takes a home's answer to a question that was asked at the given time,
// and returns the shortest wait that it tells of.
func (b *Borrower) Hear(home Member, reply LeaseReply, asked, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := maxWait
	for _, g := range reply.Items {
		wait = min(wait, g.Wait)
		p, ok := b.purses[g.Organisation]
		if !ok {
			continue
		}
		if a := p.accounts[home]; a != nil && a.id == g.Account {
			b.take(p, home, a, g, reply.Incarnation, asked, now)
		}
	}
	return wait
}

// take adds what was granted. What the loan's time starts from is the
// question: the home counts from its answer, so the borrower ends first.
func (b *Borrower) take(p *purse, home Member, a *account, g LeaseGrant, incarnation uint64, asked, now time.Time) {
	if g.Closed || (a.birth != 0 && (a.birth != g.Birth || a.home != incarnation)) {
		delete(p.accounts, home)
		return
	}
	before := a.left(now)
	a.birth, a.home = g.Birth, incarnation
	a.granted = max(a.granted, g.Granted)
	a.expires = latest(a.expires, asked.Add(b.limits.Loan))
	if a.left(now)-before >= perToken {
		p.point(home)
		p.dryUntil, p.aheadFrom = time.Time{}, time.Time{}
		return
	}
	if a.wanted > 0 {
		a.restUntil, p.aheadFrom = now.Add(restTime), now.Add(aheadPause)
		p.cursor++
	}
}

// point makes the next urgent question go to a home that had tokens.
func (p *purse) point(home Member) {
	for i, h := range p.homes {
		if h == home {
			p.cursor = i
		}
	}
}

// Lost notes that a home did not answer in time.
func (b *Borrower) Lost(ask Ask, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, item := range ask.Message.Items {
		if p, ok := b.purses[item.Organisation]; ok {
			if a := p.accounts[ask.Home]; a != nil {
				a.slow = now.Add(slowTime)
			}
		}
	}
}

// Purses returns the number of organisations seen lately and of the tokens at hand.
func (b *Borrower) Purses(now time.Time) (organisations, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.purses {
		tokens += int(p.left(now) / perToken)
	}
	return len(b.purses), tokens
}

// Stock returns the number of the organisation's tokens at hand.
func (b *Borrower) Stock(organisation string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purses[organisation]
	if !ok {
		return 0
	}
	return int(p.left(now) / perToken)
}
