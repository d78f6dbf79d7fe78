package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// port lies below the range that the kernel takes the ports of outgoing
	// connections from, and beside those that scenarios use.
	port = 7100
	// perByte leaves out 0 and the addresses at the end of each byte.
	perByte = 250
)

var given atomic.Uint32

// Address returns a loopback address with a port that nothing listens on, another one at each call.
//
// A port that the kernel names as free, and that is closed to be opened again,
// may meanwhile be the port of any outgoing connection on the machine: a test
// that starts a listener on it then fails now and then, for no fault of its own.
// The second and third byte are the process's, the fourth counts the calls.
func Address() netip.AddrPort {
	pid, number := os.Getpid(), int(given.Add(1)-1)
	address := netip.AddrFrom4([4]byte{
		127, byte(1 + pid%perByte), byte(1 + pid/perByte%perByte), byte(1 + number%perByte),
	})
	return netip.AddrPortFrom(address, uint16(port+number/perByte))
}
