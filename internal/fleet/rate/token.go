package rate

import "time"

// Token is a spent token, kept so that it can be given back if its request does not run. The zero value can't be given back.
type Token struct {
	account *account
	seq     uint64
}

// GiveBack makes the token of a request that did not run spendable again, and reports whether it could.
//
// Designed for an overloaded service: without this, an organisation within its rate pays for
// requests that were refused, and is then refused for its rate as well. A token can be given back
// only to the account it was taken from, and only while no lease request has been sent to the
// account's home since. After one, the home may have counted the token as spent and refilled its
// bucket; spent later, the token would exceed a full burst. Such a token is lost, as is one that
// was put together from fractions of several homes.
func (b *Borrower) GiveBack(organisation string, t Token, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.caches[organisation]
	if !ok || t.account == nil || t.account.seq != t.seq || !now.Before(t.account.expires) {
		return false
	}
	t.account.spent -= partsPerToken
	c.emptyUntil = time.Time{}
	return true
}
