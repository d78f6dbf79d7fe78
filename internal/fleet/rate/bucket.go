package rate

import (
	"container/list"
	"math"
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// bucket is one organisation's tokens at a home, over the shards that the home holds.
//
// Tokens that are lent and not known to be spent still count against its
// size: they may be spent in one instant, on top of what refilled meanwhile.
type bucket struct {
	plan    lists.Organisation
	rate    float64
	size    float64
	balance float64
	last    time.Time

	held       [maxShards]bool
	mine       [maxShards]bool
	version    uint64
	generation uint64
	lapses     uint64
	looked     time.Time

	out      Parts
	accounts map[accountKey]*list.Element
	order    *list.List
}

type accountKey struct {
	borrower    string
	incarnation uint64
	account     uint64
}

// lent is one account of a borrower; expires is when the borrower has stopped spending from it for certain.
type lent struct {
	key      accountKey
	birth    uint64
	seq      uint64
	granted  Parts
	spent    Parts
	returned Parts
	expires  time.Time
}

func (l *lent) out() Parts { return l.granted - l.spent - l.returned }

func newBucket(o lists.Organisation, now time.Time) *bucket {
	return &bucket{plan: o, last: now, accounts: map[accountKey]*list.Element{}, order: list.New()}
}

// refill adds what the rate brought since the last time, then forgets the
// accounts that ran out. In this order, room that an account frees counts
// from now on and not from before.
func (b *bucket) refill(now time.Time) {
	if now.After(b.last) {
		room := max(b.size-b.out.tokens(), 0)
		b.balance = min(b.balance+b.rate*now.Sub(b.last).Seconds(), room)
		b.last = now
	}
	for e := b.order.Front(); e != nil; e = b.order.Front() {
		l := e.Value.(*lent)
		if now.Before(l.expires) {
			break
		}
		b.out -= l.out()
		b.order.Remove(e)
		delete(b.accounts, l.key)
	}
}

// resize takes over a rate and size; what is above the new size is lost.
func (b *bucket) resize(rate, size float64) {
	b.rate, b.size = rate, size
	b.balance = min(b.balance, max(size-b.out.tokens(), 0))
}

// settle takes over what the borrower tells of its account; false means that
// there is no such account. An account that ran out must not come back under
// its old name: the borrower would go on to spend what counts as spent here.
func (b *bucket) settle(key accountKey, item LeaseItem, birth func() uint64) (*lent, bool) {
	e, ok := b.accounts[key]
	if !ok {
		if item.Birth != 0 {
			return nil, false
		}
		l := &lent{key: key, birth: birth()}
		b.accounts[key] = b.order.PushBack(l)
		return l, true
	}
	l := e.Value.(*lent)
	if item.Birth != 0 && item.Birth != l.birth {
		return nil, false
	}
	if item.Seq <= l.seq {
		return l, true
	}
	before := l.out()
	l.spent += min(max(item.Spent-l.spent, 0), l.out())
	returned := min(max(item.Returned-l.returned, 0), l.out())
	l.returned += returned
	b.out -= before - l.out()
	b.balance = min(b.balance+returned.tokens(), max(b.size-b.out.tokens(), 0))
	return l, true
}

// lend deducts tokens for an account, as many as wanted and there are.
//
// An ask ahead of need gets only what is above half of the bucket: daemons whose
// callers may come must not leave a daemon whose callers have come without tokens, however
// many they are. What is out counts against the size, so no more than half lies in stock.
//
// Fractions are lent only to a request that found no whole token anywhere: were they always, each
// request would empty several homes, and none would have a token to lend ahead.
func (b *bucket) lend(l *lent, item LeaseItem) Parts {
	free := whole(int(b.balance))
	switch item.Need {
	case Ahead:
		free = min(free, whole(int(math.Ceil(b.balance-b.size/2))))
	case Gathering:
		free = partsIn(b.balance)
	case Waiting:
	}
	n := max(min(item.Want, free), 0)
	l.granted += n
	b.out += n
	b.balance -= n.tokens()
	return n
}

// extend notes that an answer goes out now.
func (b *bucket) extend(l *lent, expires time.Time) {
	l.expires = expires
	b.order.MoveToBack(b.accounts[l.key])
}

// wait returns the time until the bucket has a whole token.
func (b *bucket) wait() time.Duration {
	if b.rate <= 0 || b.size < 1 {
		return UnsettledWait
	}
	seconds := max(1-b.balance, 0) / b.rate
	return time.Duration(math.Min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// UnsettledWait is told by a home that holds no shards now, and assumed of one that
// does not answer: either may change at any moment, and a daemon that refused for long on such
// word would refuse callers inside their rate.
const UnsettledWait = 50 * time.Millisecond

// noTokenWait is told when nothing is known of when tokens come; maxWait bounds what a caller is told.
const (
	noTokenWait = time.Second
	maxWait     = time.Hour
)

// idle reports whether forgetting the bucket loses nothing: a new one fills up from when its shards were taken.
func (b *bucket) idle() bool {
	return len(b.accounts) == 0 && b.balance >= b.size
}
