//go:build race

package collect

// The models run on one goroutine: the race detector finds nothing in them, and takes minutes for thousands of daemons.
func init() { sizes, expirySizes = sizes[:2], expirySizes[:1] }
