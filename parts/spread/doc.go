// Package spread distributes published, versioned values to every host: it
// decides which hosts read the source, with which peers a host exchanges
// versions, what it fetches, and whether its values are confirmed as current.
//
// It sends nothing itself. The embedding program passes received messages and
// the time to a Core and carries out the Work that the Core returns.
package spread
