// Package admission decides which requests run now, which wait and which are
// refused. It combines a concurrency limit with a fair queue.
package admission
