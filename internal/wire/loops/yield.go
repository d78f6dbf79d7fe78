package loops

import "runtime"

// Yield lets goroutines that an event loop has just made runnable run at once, on the loop's thread.
//
// A loop waits for its next events in a system call. Without Yield, those goroutines
// start only after another thread has been woken for them. This adds latency on hosts
// with little traffic, where the other threads are in deep sleep.
func Yield() { runtime.Gosched() }
