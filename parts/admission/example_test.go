package admission_test

import (
	"fmt"
	"time"

	"github.com/foxtailhook/foxtailhook/parts/admission"
	"github.com/foxtailhook/foxtailhook/parts/limit"
	"github.com/foxtailhook/foxtailhook/parts/queue"
)

// waitPrinter prints the decision on the waiting request of this name.
type waitPrinter string

// Decide prints the decision.
func (name waitPrinter) Decide(d admission.Decision) {
	fmt.Println(string(name), "waited, then:", d.Verdict)
}

// An upstream runs one request at a time. The second request waits and starts
// when the first ends; a third, whose deadline has passed, is refused at once.
func Example() {
	gate := admission.New(limit.NewFixed(1))
	now := time.Now()
	ticket := func(name string, timeout time.Duration) *admission.Ticket {
		return &admission.Ticket{
			Organisation: "dealer", Operation: "find", Weight: 1, Priority: queue.Interactive,
			Deadline: now.Add(timeout), Waiter: waitPrinter(name),
		}
	}
	first, second, third := ticket("first", time.Second), ticket("second", time.Second), ticket("third", -time.Second)
	fmt.Println("first:", gate.Arrive(now, first).Verdict)
	fmt.Println("second:", gate.Arrive(now, second).Verdict)
	refusal := gate.Arrive(now, third)
	fmt.Println("third:", refusal.Verdict, refusal.Reason)
	gate.Settle(now.Add(10*time.Millisecond), first, admission.Result{Own: 10 * time.Millisecond})
	// Output:
	// first: run
	// second: wait
	// third: refuse deadlineTooNear
	// second waited, then: run
}
