package rate

import (
	"math"
	"slices"
	"time"
)

// TickEvery is how often a borrower checks whether to ask for stock.
const TickEvery = 50 * time.Millisecond

// cacheTTL is how long the state of an organisation without requests is kept.
const cacheTTL = 20 * time.Second

// returnFactor times the target is what an organisation's tokens may reach before the surplus is returned.
const returnFactor = 3

// partsPerHome is how much one home is asked for at a time before further homes are asked as well.
const partsPerHome = 8 * partsPerToken

// Tick returns the lease requests that are due although no caller's request waits: for more tokens
// where requests arrive, to renew loans before they expire, to report spent tokens, and to return
// surplus tokens, so that daemons at which the next requests arrive find them at their homes.
func (b *Borrower) Tick(now time.Time) []Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.tickedAt)
	b.tickedAt = now
	items := map[Member][]LeaseItem{}
	var order []Member
	for name, c := range b.caches {
		if now.Sub(c.usedAt) > cacheTTL {
			delete(b.caches, name)
			continue
		}
		c.findHomes(b.version, &b.roster, b.limits.Shards, b.homeOffset)
		c.updateRates(elapsed)
		c.dropExpired(now, b.limits.Loan)
		for home, item := range b.dueItems(c, now) {
			if len(items[home]) == 0 {
				order = append(order, home)
			}
			items[home] = append(items[home], item)
		}
	}
	asks := make([]Ask, 0, len(order))
	for _, home := range order {
		asks = append(asks, b.newAsk(home, items[home]...))
	}
	return asks
}

// dueItems returns what to ask of each home for one organisation.
func (b *Borrower) dueItems(c *tokenCache, now time.Time) map[Member]LeaseItem {
	items := map[Member]LeaseItem{}
	target, available := c.stockTarget(), c.available(now)
	switch {
	case available > 0 && available < partsPerToken && now.Sub(c.gatheredAt) >= TickEvery:
		b.returnSurplus(c, available, items, now)
	case available <= target/2 && available < target && !now.Before(c.emptyUntil) && !now.Before(c.prefetchFrom):
		b.prefetch(c, target-available, items, now)
	case available > returnFactor*target:
		b.returnSurplus(c, available-target, items, now)
	}
	for home, a := range c.accounts {
		renew := a.available(now) > 0 && a.expires.Sub(now) < b.limits.Loan/2
		report := a.spent > a.reported && now.Sub(a.unreportedSince) >= c.reportDelay()
		if _, included := items[home]; !included && (renew || report) && now.Before(a.expires) {
			items[home] = b.newItem(c, a, 0, Ahead)
		}
	}
	return items
}

// prefetch asks as many homes as the missing tokens are worth: first the one in this process, which costs no
// message, then the others, starting with the last one that had tokens.
func (b *Borrower) prefetch(c *tokenCache, missing Parts, items map[Member]LeaseItem, now time.Time) {
	homeCount := 1 + int(missing/partsPerHome)
	each := partsOf(int(math.Ceil(missing.tokens() / float64(homeCount))))
	for _, home := range b.homeOrder(c) {
		if len(items) == homeCount {
			return
		}
		a := b.account(c, home, now)
		if now.Before(a.slowUntil) || now.Before(a.noPrefetchUntil) {
			continue
		}
		items[home] = b.newItem(c, a, each, Ahead)
	}
}

// homeOrder returns the homes in the order in which they are asked.
func (b *Borrower) homeOrder(c *tokenCache) []Member {
	homes := make([]Member, 0, len(c.homes))
	if slices.Contains(c.homes, b.ownHome) {
		homes = append(homes, b.ownHome)
	}
	for i := range c.homes {
		if home := c.homes[(c.cursor+i)%len(c.homes)]; home != b.ownHome {
			homes = append(homes, home)
		}
	}
	return homes
}

// returnSurplus stops spending the tokens before it reports them to the home; if the message is lost, they are lost too.
func (b *Borrower) returnSurplus(c *tokenCache, surplus Parts, items map[Member]LeaseItem, now time.Time) {
	for home, a := range c.accounts {
		amount := min(a.available(now), surplus)
		if amount <= 0 {
			continue
		}
		a.returned += amount
		surplus -= amount
		items[home] = b.newItem(c, a, 0, Ahead)
	}
}
