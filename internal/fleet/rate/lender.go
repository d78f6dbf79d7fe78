package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Lender keeps the buckets of the shards whose home this process is. It has
// state only for organisations that were asked for lately.
type Lender struct {
	membership *Membership
	limits     Limits
	plans      plans
	// since tells when an organisation was listed that the first plans lacked; the others were there at begun.
	since   map[string]time.Time
	begun   time.Time
	buckets map[string]*bucket
	swept   time.Time
	granted Parts
	births  uint64
}

// NewLender returns a lender without plans.
func NewLender(m *Membership, l Limits) *Lender {
	return &Lender{membership: m, limits: l, since: map[string]time.Time{}, buckets: map[string]*bucket{}}
}

// SetPlans takes over the organisations' rates and bursts. One that was
// removed and comes back begins with an empty bucket.
func (l *Lender) SetPlans(organisations []lists.Organisation, now time.Time) {
	next := newPlans(organisations)
	if l.plans == nil {
		l.begun = now
	} else {
		l.date(next, now)
	}
	l.plans = next
	l.reviewAll(now)
}

// date notes which organisations come with the next plans, and forgets those that go.
func (l *Lender) date(next plans, now time.Time) {
	for _, o := range next {
		if _, ok := l.plans.find(o.Organisation); !ok {
			l.since[o.Organisation] = now
		}
	}
	for name := range l.since {
		if _, ok := next.find(name); !ok {
			delete(l.since, name)
		}
	}
}

// reviewAll lets go of what the list took away; it is called at each change of
// the list, since the next version may give back what another held meanwhile.
func (l *Lender) reviewAll(now time.Time) {
	for name, b := range l.buckets {
		l.review(name, b, now)
	}
}

// Answer lends what there is; the tokens are deducted before the answer exists.
func (l *Lender) Answer(ask LeaseAsk, now time.Time) LeaseReply {
	reply := LeaseReply{Incarnation: l.membership.incarnation, Items: make([]LeaseGrant, 0, len(ask.Items))}
	for _, item := range ask.Items {
		key := accountKey{borrower: ask.Borrower, incarnation: ask.Incarnation, account: item.Account}
		reply.Items = append(reply.Items, l.answer(key, item, now))
	}
	return reply
}

func (l *Lender) answer(key accountKey, item LeaseItem, now time.Time) LeaseGrant {
	grant := LeaseGrant{Organisation: item.Organisation, Account: item.Account, Wait: UnsettledWait}
	b, ok := l.bucket(item.Organisation, now)
	if !ok {
		grant.Closed = true
		return grant
	}
	account, ok := b.settle(key, item, l.birth)
	if !ok {
		// The borrower was slow to ask and opens another account at once; the bucket may well be full.
		grant.Closed, grant.Wait = true, b.wait()
		return grant
	}
	var lent Parts
	if item.Seq > account.seq {
		account.seq = item.Seq
		if l.membership.MayLend(now) {
			lent = b.lend(account, item)
		}
	}
	l.granted += lent
	b.extend(account, now.Add(l.limits.lent()))
	grant.Birth, grant.Granted = account.birth, account.granted
	grant.Wait = b.wait()
	return grant
}

// bucket returns the organisation's bucket, brought up to now.
func (l *Lender) bucket(name string, now time.Time) (*bucket, bool) {
	b, ok := l.buckets[name]
	if !ok {
		p, listed := l.plans.find(name)
		if !listed || !l.membership.MayLend(now) {
			return nil, false
		}
		b = newBucket(p, now)
		l.review(name, b, now)
		l.fill(name, b, now)
		l.buckets[name] = b
		return b, true
	}
	l.review(name, b, now)
	return b, true
}

// reviewEvery is how often a home looks again for shards that it may not take yet.
const reviewEvery = time.Second

// review brings the bucket up to now and, when something was learnt since, works out anew which shards it holds.
func (l *Lender) review(name string, b *bucket, now time.Time) {
	b.refill(now)
	m := l.membership
	lendable := m.MayLend(now)
	due := b.version != m.version || b.generation != m.generation || now.Sub(b.looked) >= reviewEvery
	p, _ := l.plans.find(name)
	if !due && p == b.plan {
		return
	}
	if b.lapses != m.lapses {
		b.held = [maxShards]bool{}
		b.balance = 0
	}
	l.findMine(name, b)
	rate, size := 0.0, 0.0
	for shard := range l.limits.Shards {
		b.held[shard] = lendable && b.mine[shard] && l.holds(name, shard, b, now)
		if b.held[shard] && p.Burst > 0 {
			r, s := share(p, shard, l.limits.Shards)
			rate, size = rate+r, size+s
		}
	}
	b.generation, b.lapses, b.looked, b.plan = m.generation, m.lapses, now, p
	b.resize(rate, size)
}

// findMine works out, once for each version of the list, which shards it gives to this process.
func (l *Lender) findMine(name string, b *bucket) {
	m := l.membership
	if b.version == m.version {
		return
	}
	b.version = m.version
	for shard := range l.limits.Shards {
		home, ok := m.roster.home(shardKey(name, shard))
		b.mine[shard] = ok && home == m.self
	}
}

// holds reports whether a shard stays held or may be taken now.
func (l *Lender) holds(name string, shard int, b *bucket, now time.Time) bool {
	m := l.membership
	key := shardKey(name, shard)
	if b.held[shard] && !m.contested(key, b.generation) {
		return true
	}
	from, ok := m.mayTake(key, now)
	return ok && !now.Before(from)
}

// fill gives a bucket that was not asked for until now what came in since its
// shards were free of any other home, since this process has had the right to
// act, and since the organisation was listed. Nothing is known from before the
// last fence, so no more than that is counted.
func (l *Lender) fill(name string, b *bucket, now time.Time) {
	m := l.membership
	since := latest(latest(m.regained, latest(l.begun, l.since[name])), now.Add(-l.limits.Fence))
	for shard := range l.limits.Shards {
		if b.held[shard] {
			from, _ := m.mayTake(shardKey(name, shard), now)
			since = latest(since, from)
		}
	}
	if now.After(since) {
		b.balance = min(b.rate*now.Sub(since).Seconds(), b.size)
	}
}

func (l *Lender) birth() uint64 {
	l.births++
	return l.births
}

// Tick forgets the buckets of organisations that are not asked for any more.
func (l *Lender) Tick(now time.Time) {
	if now.Sub(l.swept) < reviewEvery {
		return
	}
	l.swept = now
	for name, b := range l.buckets {
		l.review(name, b, now)
		if b.idle() {
			delete(l.buckets, name)
		}
	}
}

// Holdings tells what a home has.
type Holdings struct {
	Organisations int
	Shards        int
	Lent          int
	Tokens        uint64
}

// Holdings returns the organisations with a bucket, the shards held, the tokens out on loan and all lent since the start.
func (l *Lender) Holdings() Holdings {
	var out Parts
	h := Holdings{Organisations: len(l.buckets), Tokens: uint64(l.granted / perToken)}
	for _, b := range l.buckets {
		out += b.out
		for _, held := range b.held {
			if held {
				h.Shards++
			}
		}
	}
	h.Lent = int(out / perToken)
	return h
}

// Balance returns the organisation's tokens that may be lent, as of the last question.
func (l *Lender) Balance(organisation string) float64 {
	b, ok := l.buckets[organisation]
	if !ok {
		return 0
	}
	return b.balance
}
