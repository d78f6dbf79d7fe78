package budget

import "github.com/foxtailhook/foxtailhook/internal/decide/budget"

// Account holds the runs that one request may still cause below one hop; it is safe for concurrent use.
//
// Draw takes runs for one attempt, Settle gives back what the attempt's answer
// says is unused, Close ends the account and returns the rest for the answer
// to the hop above.
type Account = budget.Account

// New returns an account with the given number of runs.
func New(runs int) *Account { return budget.New(runs) }
