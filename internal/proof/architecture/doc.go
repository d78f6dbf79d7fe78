// Package architecture tests the rules of the source tree: allowed imports, lengths and doc comments.
package architecture
