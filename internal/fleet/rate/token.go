package rate

import "time"

// Token is one that was spent, kept for the case that its request does not run; the zero value can't be given back.
type Token struct {
	account *account
	seq     uint64
}

// GiveBack makes a token of a request that did not run spendable again, and reports whether it could.
//
// The load is an overloaded service: without this, an organisation inside its rate pays for
// requests that were refused, and is then refused for its rate as well. A token
// comes back only to the account it was taken from, while no question has gone to
// its home since. After one, the home may count it as spent and may have refilled its
// place; spent later it would come on top of a full burst. It is then lost, as
// is one that was put together from several homes' fractions.
func (b *Borrower) GiveBack(organisation string, t Token, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.purses[organisation]
	if !ok || t.account == nil || t.account.seq != t.seq || !now.Before(t.account.expires) {
		return false
	}
	t.account.spent -= perToken
	p.dryUntil = time.Time{}
	return true
}
