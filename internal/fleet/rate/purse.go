package rate

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/decide/comeback"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// tokenCache is a borrower's state for one organisation: its accounts at homes and its demand.
type tokenCache struct {
	plan lists.Organisation
	// version is that of the host list for which homes was computed, 0 to recompute it.
	version  uint64
	homes    []Member
	accounts map[Member]*account
	// cursor is the index, modulo their number, of the home to ask first after the one in this process.
	cursor int

	// arrivals are counted since the last tick; demand is their smoothed rate in requests/s.
	arrivals int
	demand   float64
	// spends are the tokens spent since the last tick; admitRate is their smoothed rate in requests/s.
	spends        int
	admitRate     float64
	retrySchedule *comeback.Schedule
	usedAt        time.Time
	// emptyUntil is when homes may be asked again after they had no token, emptyCount how often in a row they had none.
	emptyUntil time.Time
	// gatheredAt is when fractions were last requested.
	gatheredAt time.Time
	emptyCount int
	// prefetchFrom is when to ask for stock again after a home had nothing to spare.
	prefetchFrom time.Time
}

// account is what one home lent. id is the borrower's identifier of the account, birth the home's, seq the number
// of its last lease request; granted, spent and returned are totals.
type account struct {
	id              uint64
	birth           uint64
	seq             uint64
	homeIncarnation uint64
	granted         Parts
	spent           Parts
	// reported is the part of spent that the home has been sent.
	reported Parts
	returned Parts
	expires  time.Time
	openedAt time.Time
	// slowUntil is until when the home is not asked, since it did not reply in time.
	slowUntil time.Time
	// unreportedSince is when the first token was spent that is not yet reported to the home.
	unreportedSince time.Time
	// prefetchWanted is what the last request asked for as stock; noPrefetchUntil is when to ask so again, after it was granted nothing.
	prefetchWanted  Parts
	noPrefetchUntil time.Time
}

func (a *account) available(now time.Time) Parts {
	if !now.Before(a.expires) {
		return 0
	}
	return a.granted - a.spent - a.returned
}

const (
	// demandTimeConstant smooths arrivals: long enough that a caller with one request in several seconds finds a token in stock.
	demandTimeConstant = 4 * time.Second
	// slowHomePause is how long a home that did not reply is not asked.
	slowHomePause = 100 * time.Millisecond
	// minEmptyTime and maxEmptyTime bound the time during which a borrower without tokens refuses without
	// asking homes: the excess requests of an organisation above its rate must not become as many
	// lease requests, and a token that another borrower returns must be found soon.
	minEmptyTime = 20 * time.Millisecond
	maxEmptyTime = 500 * time.Millisecond
	// maxEmptyDoublings is how often minEmptyTime is doubled at most, up to maxEmptyTime.
	maxEmptyDoublings = 5
)

func (c *tokenCache) recordArrival(now time.Time) {
	c.arrivals++
	c.usedAt = now
}

// spend takes a token, if possible from one home's account.
func (c *tokenCache) spend(now time.Time) (Token, bool) {
	for _, a := range c.accounts {
		if a.available(now) >= partsPerToken {
			a.spend(partsPerToken, now)
			c.recordSpend()
			return Token{account: a, seq: a.seq}, true
		}
	}
	if c.available(now) < partsPerToken {
		return Token{}, false
	}
	c.recordSpend()
	missing := partsPerToken
	for _, a := range c.accounts {
		missing -= a.spend(min(missing, a.available(now)), now)
	}
	return Token{}, true
}

// recordSpend counts a request that got its token.
func (c *tokenCache) recordSpend() {
	c.emptyCount = 0
	c.spends++
}

func (a *account) spend(amount Parts, now time.Time) Parts {
	if amount > 0 && a.spent == a.reported {
		a.unreportedSince = now
	}
	a.spent += amount
	return amount
}

func (c *tokenCache) available(now time.Time) Parts {
	var sum Parts
	for _, a := range c.accounts {
		sum += a.available(now)
	}
	return sum
}

// updateRates smooths demand and admitRate over the time since the last tick.
func (c *tokenCache) updateRates(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	weight := min(seconds/demandTimeConstant.Seconds(), 1)
	c.demand += (float64(c.arrivals)/seconds - c.demand) * weight
	c.admitRate += (float64(c.spends)/seconds - c.admitRate) * weight
	c.arrivals, c.spends = 0, 0
}

// findHomes determines the homes of the organisation's shards, once for each version of the host list.
// Borrowers start at different homes; otherwise the home of the first shard would get all their lease requests.
func (c *tokenCache) findHomes(version uint64, r *roster, shards int, offset uint64) {
	if c.version == version {
		return
	}
	c.version = version
	c.homes = c.homes[:0]
	seen := map[Member]bool{}
	for shard := range min(shards, c.plan.Burst) {
		home, ok := r.home(shardKey(c.plan.Organisation, shard))
		if ok && !seen[home] {
			seen[home] = true
			c.homes = append(c.homes, home)
		}
	}
	c.cursor = int(offset % uint64(max(len(c.homes), 1)))
}

// dropExpired drops expired accounts; the home counts their tokens as spent.
func (c *tokenCache) dropExpired(now time.Time, loan time.Duration) {
	for home, a := range c.accounts {
		if !now.Before(a.expires) && now.Sub(a.openedAt) >= loan && !now.Before(a.slowUntil) && !now.Before(a.noPrefetchUntil) {
			delete(c.accounts, home)
		}
	}
}
