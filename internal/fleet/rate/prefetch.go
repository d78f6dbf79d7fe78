package rate

import (
	"math"
	"slices"
	"time"
)

// TickEvery is how often a borrower looks whether it should ask ahead of need.
const TickEvery = 50 * time.Millisecond

// forgetPurse is how long a purse without tokens and callers is kept.
const forgetPurse = 20 * time.Second

// returnFactor times the target is what a purse may hold before it gives tokens back.
const returnFactor = 3

// perHome is how many tokens are asked of one home at a time before others are asked as well.
const perHome = 8 * perToken

// Tick returns the questions to ask ahead of need: for more tokens where
// callers arrive, to keep loans from running out, and to give back what callers
// don't need, so that daemons where they come next find it at its home.
func (b *Borrower) Tick(now time.Time) []Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.ticked)
	b.ticked = now
	items := map[Member][]LeaseItem{}
	var order []Member
	for name, p := range b.purses {
		if now.Sub(p.used) > forgetPurse {
			delete(b.purses, name)
			continue
		}
		p.find(b.version, &b.roster, b.limits.Shards, b.start)
		p.tick(elapsed)
		p.close(now, b.limits.Loan)
		for home, item := range b.wishes(p, now) {
			if len(items[home]) == 0 {
				order = append(order, home)
			}
			items[home] = append(items[home], item)
		}
	}
	asks := make([]Ask, 0, len(order))
	for _, home := range order {
		asks = append(asks, b.ask(home, items[home]...))
	}
	return asks
}

// wishes returns what to ask of each home for one organisation.
func (b *Borrower) wishes(p *purse, now time.Time) map[Member]LeaseItem {
	out := map[Member]LeaseItem{}
	target, left := p.target(), p.left(now)
	switch {
	case left > 0 && left < perToken && now.Sub(p.gathered) >= TickEvery:
		b.giveBack(p, left, out, now)
	case left <= target/2 && left < target && !now.Before(p.dryUntil) && !now.Before(p.aheadFrom):
		b.more(p, target-left, out, now)
	case left > returnFactor*target:
		b.giveBack(p, left-target, out, now)
	}
	for home, a := range p.accounts {
		renew := a.left(now) > 0 && a.expires.Sub(now) < b.limits.Loan/2
		tell := a.spent > a.told && now.Sub(a.untold) >= p.tellAfter()
		if _, asked := out[home]; !asked && (renew || tell) && now.Before(a.expires) {
			out[home] = b.item(p, a, 0, Ahead)
		}
	}
	return out
}

// more asks as many homes as the missing tokens are worth: the process's own, which costs no
// message, then those that had some.
func (b *Borrower) more(p *purse, missing Parts, out map[Member]LeaseItem, now time.Time) {
	need := 1 + int(missing/perHome)
	each := whole(int(math.Ceil(missing.tokens() / float64(need))))
	for _, home := range b.order(p) {
		if len(out) == need {
			return
		}
		a := b.account(p, home, now)
		if now.Before(a.slow) || now.Before(a.restUntil) {
			continue
		}
		out[home] = b.item(p, a, each, Ahead)
	}
}

// order returns the homes in the order in which they are asked.
func (b *Borrower) order(p *purse) []Member {
	out := make([]Member, 0, len(p.homes))
	if slices.Contains(p.homes, b.own) {
		out = append(out, b.own)
	}
	for i := range p.homes {
		if home := p.homes[(p.cursor+i)%len(p.homes)]; home != b.own {
			out = append(out, home)
		}
	}
	return out
}

// giveBack stops spending first and tells the home after that; if the message is lost, the tokens are.
func (b *Borrower) giveBack(p *purse, surplus Parts, out map[Member]LeaseItem, now time.Time) {
	for home, a := range p.accounts {
		n := min(a.left(now), surplus)
		if n <= 0 {
			continue
		}
		a.returned += n
		surplus -= n
		out[home] = b.item(p, a, 0, Ahead)
	}
}
