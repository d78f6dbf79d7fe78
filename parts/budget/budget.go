package budget

import "github.com/foxtailhook/foxtailhook/internal/decide/budget"

// Account holds the runs that one request may still cause below one hop; it is safe for concurrent use.
//
// Draw takes runs for one attempt, or returns a channel that is closed when other
// attempts may have returned the missing runs. Settle returns those that the
// attempt's response reports as unused. Close ends the account and returns the
// remaining runs, which the response to the caller reports as unused.
type Account = budget.Account

// New returns an account with the given number of runs.
func New(runs int) *Account { return budget.New(runs) }
