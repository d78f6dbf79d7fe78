// Package loops starts nbio engines so that they can be stopped at any time.
package loops
