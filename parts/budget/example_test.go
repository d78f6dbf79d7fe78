package budget_test

import (
	"fmt"

	"github.com/foxtailhook/foxtailhook/parts/budget"
)

// A request may cause eight runs. Each attempt passes runs to the next hop,
// whose response returns the unused ones; a lost response returns none.
func ExampleAccount() {
	account := budget.New(8)

	runs, _ := account.Draw(2)
	fmt.Println("sent with the first attempt:", runs)
	account.Settle(runs, 1) // the response reports one run as unused.
	fmt.Println("left:", account.Left())

	runs, _ = account.Draw(2)
	account.Settle(runs, 0) // the response was lost.
	fmt.Println("returned with the response:", account.Close())

	runs, wait := account.Draw(1)
	fmt.Println("after the end:", runs, wait)
	// Output:
	// sent with the first attempt: 4
	// left: 5
	// returned with the response: 1
	// after the end: 0 <nil>
}
