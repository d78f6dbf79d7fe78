// Package admission decides which requests run now, which wait and which are
// refused: the concurrency limit and the fair queue joined.
package admission
