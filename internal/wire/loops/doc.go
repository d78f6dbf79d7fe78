// Package loops starts nbio engines so that they can be stopped at any time, and runs handlers on reused goroutines.
package loops
