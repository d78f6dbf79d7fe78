package rate

// FillAll makes a home forget that it has just started: all its buckets are full.
func (h *Home) FillAll() {
	for _, b := range h.lender.buckets {
		b.balance = b.size
	}
}

// ForceGiveBack gives a token back whatever its home was told meanwhile.
func (b *Borrower) ForceGiveBack(t Token) { t.account.spent -= perToken }
