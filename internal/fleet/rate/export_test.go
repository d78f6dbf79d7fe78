package rate

// FillBuckets fills all buckets of a home, as if it had not just started.
func (h *Home) FillBuckets() {
	for _, b := range h.lender.buckets {
		b.balance = b.size
	}
}

// ForceGiveBack gives a token back without checking whether its home has been asked for tokens since.
func (b *Borrower) ForceGiveBack(t Token) { t.account.spent -= partsPerToken }
