package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// purse is what a borrower holds of one organisation.
type purse struct {
	plan     lists.Organisation
	version  uint64
	homes    []Member
	accounts map[Member]*account
	cursor   int

	// arrivals are counted since the last tick; demand is their smoothed rate in calls/s.
	arrivals int
	demand   float64
	// spends are those since the last tick, pace is their smoothed rate in calls/s.
	spends   int
	pace     float64
	back     *comeback.Schedule
	used     time.Time
	dryUntil time.Time
	// gathered is when fractions were last asked for.
	gathered time.Time
	dries    int
	// aheadFrom is when to ask ahead of need again after a home had nothing to spare.
	aheadFrom time.Time
}

// account is what one home lent. Spent, returned and granted are totals.
type account struct {
	id       uint64
	birth    uint64
	seq      uint64
	home     uint64
	granted  Parts
	spent    Parts
	told     Parts
	returned Parts
	expires  time.Time
	opened   time.Time
	slow     time.Time
	// untold is when the first token was spent that the home was not told of.
	untold time.Time
	// wanted is what the last question asked for ahead of need; restUntil is when to ask so again, after it brought nothing.
	wanted    Parts
	restUntil time.Time
}

func (a *account) left(now time.Time) Parts {
	if !now.Before(a.expires) {
		return 0
	}
	return a.granted - a.spent - a.returned
}

// Times and shares of a purse.
const (
	// demandTime smooths arrivals: long enough that a caller with one request in some seconds finds a token in stock.
	demandTime = 4 * time.Second
	// slowTime is how long a home that did not answer is passed over.
	slowTime = 100 * time.Millisecond
	// leastDry and mostDry bound the time during which a dry purse refuses without
	// asking: a flood of an organisation over its rate must not become a flood of
	// questions, and a token that another borrower gives back must be found soon.
	leastDry = 20 * time.Millisecond
	mostDry  = 500 * time.Millisecond
	// mostDries is how often leastDry is doubled at most, up to mostDry.
	mostDries = 5
)

func (p *purse) arrive(now time.Time) {
	p.arrivals++
	p.used = now
}

// spend takes a token, from one home's account if it can.
func (p *purse) spend(now time.Time) (Token, bool) {
	for _, a := range p.accounts {
		if a.left(now) >= perToken {
			a.spend(perToken, now)
			p.admitted()
			return Token{account: a, seq: a.seq}, true
		}
	}
	if p.left(now) < perToken {
		return Token{}, false
	}
	p.admitted()
	missing := perToken
	for _, a := range p.accounts {
		missing -= a.spend(min(missing, a.left(now)), now)
	}
	return Token{}, true
}

// admitted counts a request that got its token.
func (p *purse) admitted() {
	p.dries = 0
	p.spends++
}

func (a *account) spend(n Parts, now time.Time) Parts {
	if n > 0 && a.spent == a.told {
		a.untold = now
	}
	a.spent += n
	return n
}

func (p *purse) left(now time.Time) Parts {
	var sum Parts
	for _, a := range p.accounts {
		sum += a.left(now)
	}
	return sum
}

// tick smooths demand and pace over the time since the last tick.
func (p *purse) tick(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	weight := min(seconds/demandTime.Seconds(), 1)
	p.demand += (float64(p.arrivals)/seconds - p.demand) * weight
	p.pace += (float64(p.spends)/seconds - p.pace) * weight
	p.arrivals, p.spends = 0, 0
}

// find works out the homes of the organisation's shards, once for each version of the hosts list.
// Borrowers start at different homes, or the home of the first shard would have all their questions.
func (p *purse) find(version uint64, r *roster, shards int, start uint64) {
	if p.version == version {
		return
	}
	p.version = version
	p.homes = p.homes[:0]
	seen := map[Member]bool{}
	for shard := range min(shards, p.plan.Burst) {
		home, ok := r.home(shardKey(p.plan.Organisation, shard))
		if ok && !seen[home] {
			seen[home] = true
			p.homes = append(p.homes, home)
		}
	}
	p.cursor = int(start % uint64(max(len(p.homes), 1)))
}

// close drops accounts that ran out; their tokens are the home's loss.
func (p *purse) close(now time.Time, loan time.Duration) {
	for home, a := range p.accounts {
		if !now.Before(a.expires) && now.Sub(a.opened) >= loan && !now.Before(a.slow) && !now.Before(a.restUntil) {
			delete(p.accounts, home)
		}
	}
}
