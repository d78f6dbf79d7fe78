package budget_test

import (
	"fmt"

	"github.com/foxtailhook/foxtailhook/parts/budget"
)

// A request may cause eight runs. Its first attempt hands runs on to the next
// hop, whose answer brings back what it did not use; a lost answer brings none.
func ExampleAccount() {
	account := budget.New(8)

	runs, _ := account.Draw(2)
	fmt.Println("sent with the first attempt:", runs)
	account.Settle(runs, 1) // the answer says that one run is unused.
	fmt.Println("left:", account.Left())

	runs, _ = account.Draw(2)
	account.Settle(runs, 0) // no answer came back.
	fmt.Println("goes back up with the answer:", account.Close())

	runs, wait := account.Draw(1)
	fmt.Println("after the end:", runs, wait)
	// Output:
	// sent with the first attempt: 4
	// left: 5
	// goes back up with the answer: 1
	// after the end: 0 <nil>
}
