package rate

import (
	"container/list"
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// bucket is one organisation's token bucket at a home, over the shards that the home holds.
//
// Outstanding tokens, which are lent and not known to be spent, still count against its
// size: they may be spent at one instant, on top of what the rate has refilled meanwhile.
type bucket struct {
	plan       lists.Organisation
	rate       float64
	size       float64
	balance    float64
	refilledAt time.Time

	// held are the shards that the home lends from now, assigned those that the host list of the version gives it.
	held     [maxShards]bool
	assigned [maxShards]bool
	// version, generation and lapses are the membership's at the last review.
	version    uint64
	generation uint64
	lapses     uint64
	reviewedAt time.Time

	outstanding Parts
	accounts    map[accountKey]*list.Element
	// byExtension orders the accounts by their last reply, the one that expires first in front.
	byExtension *list.List
}

type accountKey struct {
	borrower    string
	incarnation uint64
	account     uint64
}

// loanAccount is one account of a borrower: birth identifies it at this home, seq is the number of its last
// lease request, and expires is when the borrower has certainly stopped spending from it.
type loanAccount struct {
	key      accountKey
	birth    uint64
	seq      uint64
	granted  Parts
	spent    Parts
	returned Parts
	expires  time.Time
}

func (a *loanAccount) outstanding() Parts {
	return a.granted - a.spent - a.returned
}

func newBucket(o lists.Organisation, now time.Time) *bucket {
	return &bucket{plan: o, refilledAt: now, accounts: map[accountKey]*list.Element{}, byExtension: list.New()}
}

// refill adds the tokens of the rate since the last refill, then drops expired
// accounts. In this order, the capacity that an account frees counts from now on
// and not for the time before.
func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		capacity := max(b.size-b.outstanding.tokens(), 0)
		b.balance = min(b.balance+b.rate*now.Sub(b.refilledAt).Seconds(), capacity)
		b.refilledAt = now
	}
	for element := b.byExtension.Front(); element != nil; element = b.byExtension.Front() {
		account := element.Value.(*loanAccount)
		if now.Before(account.expires) {
			break
		}
		b.outstanding -= account.outstanding()
		b.byExtension.Remove(element)
		delete(b.accounts, account.key)
	}
}

// resize sets the rate and size; tokens above the new size are lost.
func (b *bucket) resize(rate, size float64) {
	b.rate, b.size = rate, size
	b.balance = min(b.balance, max(size-b.outstanding.tokens(), 0))
}

// settle applies what the borrower reports about its account; false means that
// there is no such account. An expired account must not be reopened under
// its old identifier: the borrower would go on to spend tokens that this
// home already counts as spent.
func (b *bucket) settle(key accountKey, item LeaseItem, birth func() uint64) (*loanAccount, bool) {
	element, ok := b.accounts[key]
	if !ok {
		if item.Birth != 0 {
			return nil, false
		}
		account := &loanAccount{key: key, birth: birth()}
		b.accounts[key] = b.byExtension.PushBack(account)
		return account, true
	}
	account := element.Value.(*loanAccount)
	if item.Birth != 0 && item.Birth != account.birth {
		return nil, false
	}
	if item.Seq <= account.seq {
		return account, true
	}
	previous := account.outstanding()
	account.spent += min(max(item.Spent-account.spent, 0), account.outstanding())
	returned := min(max(item.Returned-account.returned, 0), account.outstanding())
	account.returned += returned
	b.outstanding -= previous - account.outstanding()
	b.balance = min(b.balance+returned.tokens(), max(b.size-b.outstanding.tokens(), 0))
	return account, true
}

// lend moves tokens to an account, as many as wanted and available.
//
// A lease request for stock (Ahead) gets only what is above half of the bucket: daemons whose callers
// may send requests must not leave a daemon without tokens whose callers have sent them, however many
// those daemons are. Outstanding tokens count against the size, so at most half of the bucket lies in stock.
//
// Fractions are lent only for a caller's request that found no whole token at any home. If they always
// were, each such request would empty several homes, and none would have a whole token to lend as stock.
func (b *bucket) lend(account *loanAccount, item LeaseItem) Parts {
	free := partsOf(int(b.balance))
	switch item.Need {
	case Ahead:
		free = min(free, partsOf(int(math.Ceil(b.balance-b.size/2))))
	case Gathering:
		free = partsIn(b.balance)
	case Waiting:
	}
	amount := max(min(item.Want, free), 0)
	account.granted += amount
	b.outstanding += amount
	b.balance -= amount.tokens()
	return amount
}

// extend records that a reply is sent for the account now.
func (b *bucket) extend(account *loanAccount, expires time.Time) {
	account.expires = expires
	b.byExtension.MoveToBack(b.accounts[account.key])
}

// wait returns the time until the bucket has a whole token.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 || b.size < 1 {
		return UnsettledWait
	}
	seconds := max(1-b.balance, 0) / b.rate
	return time.Duration(math.Min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// UnsettledWait is the wait of a home that holds no shards now, and is assumed of one that does
// not reply. Either may change at any moment, and a daemon that refused for longer would
// refuse requests within the organisation's rate.
const UnsettledWait = 50 * time.Millisecond

const (
	// unlistedWait is the wait of an organisation without a plan; maxWait bounds every wait.
	unlistedWait = time.Second
	maxWait      = time.Hour
)

// idle reports whether the bucket may be dropped without loss: a new one is filled for the time since its shards were taken.
func (b *bucket) idle() bool {
	return len(b.accounts) == 0 && b.balance >= b.size
}
