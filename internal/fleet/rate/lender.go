package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Lender keeps the buckets of the shards whose home this process is. It has
// state only for organisations whose tokens were requested lately.
type Lender struct {
	membership *Membership
	limits     Limits
	plans      plans
	// listedSince has the organisations that the first plans lacked; the others have been listed since plansSince.
	listedSince map[string]time.Time
	plansSince  time.Time
	buckets     map[string]*bucket
	sweptAt     time.Time
	granted     Parts
	// lastBirth identifies the account that was opened last.
	lastBirth uint64
}

// NewLender returns a lender without plans.
func NewLender(m *Membership, l Limits) *Lender {
	return &Lender{membership: m, limits: l, listedSince: map[string]time.Time{}, buckets: map[string]*bucket{}}
}

// SetPlans replaces the organisations' rates and bursts. An organisation that was
// removed and is listed again starts with an empty bucket.
func (l *Lender) SetPlans(organisations []lists.Organisation, now time.Time) {
	next := newPlans(organisations)
	if l.plans == nil {
		l.plansSince = now
	} else {
		l.recordListed(next, now)
	}
	l.plans = next
	l.reviewAll(now)
}

// recordListed records which organisations the next plans add, and forgets those that they remove.
func (l *Lender) recordListed(next plans, now time.Time) {
	for _, o := range next {
		if _, ok := l.plans.find(o.Organisation); !ok {
			l.listedSince[o.Organisation] = now
		}
	}
	for name := range l.listedSince {
		if _, ok := next.find(name); !ok {
			delete(l.listedSince, name)
		}
	}
}

// reviewAll stops lending from the shards that the host list took away. It is called at each change
// of the list, since the next version may give back a shard that another home held meanwhile.
func (l *Lender) reviewAll(now time.Time) {
	for name, b := range l.buckets {
		l.reviewBucket(name, b, now)
	}
}

// Answer lends what is available; the tokens are deducted before the reply exists.
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
	account, ok := b.settle(key, item, l.nextBirth)
	if !ok {
		// The borrower asked too late and opens another account at once; the bucket may well be full.
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
	b.extend(account, now.Add(l.limits.lenderLoan()))
	grant.Birth, grant.Granted = account.birth, account.granted
	grant.Wait = b.wait()
	return grant
}

// bucket returns the organisation's bucket, refilled and reviewed.
func (l *Lender) bucket(name string, now time.Time) (*bucket, bool) {
	b, ok := l.buckets[name]
	if !ok {
		plan, listed := l.plans.find(name)
		if !listed || !l.membership.MayLend(now) {
			return nil, false
		}
		b = newBucket(plan, now)
		l.reviewBucket(name, b, now)
		l.fillNew(name, b, now)
		l.buckets[name] = b
		return b, true
	}
	l.reviewBucket(name, b, now)
	return b, true
}

// reviewEvery is how often a home checks again for shards that it may not take yet.
const reviewEvery = time.Second

// reviewBucket refills the bucket and, when the membership has changed or the last review is old, redetermines which shards it holds.
func (l *Lender) reviewBucket(name string, b *bucket, now time.Time) {
	b.refill(now)
	m := l.membership
	lendable := m.MayLend(now)
	due := b.version != m.version || b.generation != m.generation || now.Sub(b.reviewedAt) >= reviewEvery
	plan, _ := l.plans.find(name)
	if !due && plan == b.plan {
		return
	}
	if b.lapses != m.lapses {
		b.held = [maxShards]bool{}
		b.balance = 0
	}
	l.assignShards(name, b)
	rate, size := 0.0, 0.0
	for shard := range l.limits.Shards {
		b.held[shard] = lendable && b.assigned[shard] && l.mayHold(name, shard, b, now)
		if b.held[shard] && plan.Burst > 0 {
			shardRate, shardSize := shardPlan(plan, shard, l.limits.Shards)
			rate, size = rate+shardRate, size+shardSize
		}
	}
	b.generation, b.lapses, b.reviewedAt, b.plan = m.generation, m.lapses, now, plan
	b.resize(rate, size)
}

// assignShards determines, once for each version of the host list, which shards it gives to this process.
func (l *Lender) assignShards(name string, b *bucket) {
	m := l.membership
	if b.version == m.version {
		return
	}
	b.version = m.version
	for shard := range l.limits.Shards {
		home, ok := m.roster.home(shardKey(name, shard))
		b.assigned[shard] = ok && home == m.self
	}
}

// mayHold reports whether a shard stays held or may be taken now.
func (l *Lender) mayHold(name string, shard int, b *bucket, now time.Time) bool {
	m := l.membership
	key := shardKey(name, shard)
	if b.held[shard] && !m.contested(key, b.generation) {
		return true
	}
	from, ok := m.mayTake(key, now)
	return ok && !now.Before(from)
}

// fillNew gives a new bucket the tokens of the time since its shards were released
// by other homes, since this process has had the right to lend, and since the
// organisation was listed, whichever is latest. Nothing is known from before the
// last fence, so no more time than that is counted.
func (l *Lender) fillNew(name string, b *bucket, now time.Time) {
	m := l.membership
	since := later(later(m.tenureStart, later(l.plansSince, l.listedSince[name])), now.Add(-l.limits.Fence))
	for shard := range l.limits.Shards {
		if b.held[shard] {
			from, _ := m.mayTake(shardKey(name, shard), now)
			since = later(since, from)
		}
	}
	if now.After(since) {
		b.balance = min(b.rate*now.Sub(since).Seconds(), b.size)
	}
}

// nextBirth returns the identifier of a new account.
func (l *Lender) nextBirth() uint64 {
	l.lastBirth++
	return l.lastBirth
}

// Tick drops the buckets of organisations whose tokens are no longer requested.
func (l *Lender) Tick(now time.Time) {
	if now.Sub(l.sweptAt) < reviewEvery {
		return
	}
	l.sweptAt = now
	for name, b := range l.buckets {
		l.reviewBucket(name, b, now)
		if b.idle() {
			delete(l.buckets, name)
		}
	}
}

// Holdings are the numbers of organisations with a bucket, of shards held, of tokens on loan (Lent) and of tokens lent since the start (Tokens).
type Holdings struct {
	Organisations int
	Shards        int
	Lent          int
	Tokens        uint64
}

// Holdings returns the present numbers.
func (l *Lender) Holdings() Holdings {
	var outstanding Parts
	h := Holdings{Organisations: len(l.buckets), Tokens: uint64(l.granted / partsPerToken)}
	for _, b := range l.buckets {
		outstanding += b.outstanding
		for _, held := range b.held {
			if held {
				h.Shards++
			}
		}
	}
	h.Lent = int(outstanding / partsPerToken)
	return h
}

// Balance returns the organisation's tokens that may be lent, as of the last lease request.
func (l *Lender) Balance(organisation string) float64 {
	b, ok := l.buckets[organisation]
	if !ok {
		return 0
	}
	return b.balance
}
