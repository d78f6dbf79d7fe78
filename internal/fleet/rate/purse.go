package rate

import (
	"time"

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
	used     time.Time
	dryUntil time.Time
	// aheadFrom is when to ask ahead of need again after a home had nothing to spare.
	aheadFrom time.Time
}

// account is what one home lent. Spent, returned and granted are totals.
type account struct {
	id       uint64
	birth    uint64
	seq      uint64
	home     uint64
	granted  int
	spent    int
	told     int
	returned int
	expires  time.Time
	opened   time.Time
	slow     time.Time
	// untold is when the first token was spent that the home was not told of.
	untold time.Time
	// wanted is what the last question asked for ahead of need; restUntil is when to ask so again, after it brought nothing.
	wanted    int
	restUntil time.Time
}

func (a *account) left(now time.Time) int {
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
)

func (p *purse) arrive(now time.Time) {
	p.arrivals++
	p.used = now
}

// spend takes a token that one of the homes lent.
func (p *purse) spend(now time.Time) bool {
	for _, a := range p.accounts {
		if a.left(now) > 0 {
			if a.spent == a.told {
				a.untold = now
			}
			a.spent++
			return true
		}
	}
	return false
}

func (p *purse) left(now time.Time) int {
	sum := 0
	for _, a := range p.accounts {
		sum += a.left(now)
	}
	return sum
}

// tick smooths the demand over the time since the last tick.
func (p *purse) tick(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seen := float64(p.arrivals) / elapsed.Seconds()
	weight := min(elapsed.Seconds()/demandTime.Seconds(), 1)
	p.demand += (seen - p.demand) * weight
	p.arrivals = 0
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
