package queue_test

import (
	"fmt"

	"github.com/foxtailhook/foxtailhook/parts/queue"
)

// Three campaign files of one maker arrived first. The dealer's lookup has a
// higher priority and is served before all of them; another maker's file waits
// for only one of them.
func ExampleNew() {
	q := queue.New[string]()
	push := func(organisation, work string, p queue.Priority) {
		q.Push(&queue.Item[string]{Value: work, Organisation: organisation, Weight: 1, Priority: p, Cost: 1})
	}
	push("maker-a", "file a1", queue.Background)
	push("maker-a", "file a2", queue.Background)
	push("maker-a", "file a3", queue.Background)
	push("maker-b", "file b1", queue.Background)
	push("dealer", "lookup", queue.Interactive)
	for item := q.Pop(); item != nil; item = q.Pop() {
		fmt.Println(item.Value)
	}
	// Output:
	// lookup
	// file a1
	// file b1
	// file a2
	// file a3
}
