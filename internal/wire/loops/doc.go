// Package loops starts nbio engines so that they can be stopped at any time, closes their connections, and runs handlers on reused goroutines.
package loops
