package loops

import "runtime"

// Yield lets the goroutines that a loop has just made ready run at once, on the loop's own thread.
//
// A loop waits for its next events in a system call. What it made ready before
// would otherwise start only when another thread has been woken for it, which
// shows as latency on hosts with few calls, where threads sleep deeply.
func Yield() { runtime.Gosched() }
