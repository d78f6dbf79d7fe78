package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstPort lies below the range from which the kernel takes the ports of
	// outgoing connections, and differs from the ports that scenarios use.
	firstPort = 7100
	// valuesPerByte excludes 0 and the highest values of each address byte.
	valuesPerByte = 250
)

var issued atomic.Uint32

// Address returns a loopback address with a port that nothing listens on, a different one at each call.
//
// A test that lets the kernel choose a free port, closes it and listens on it
// again fails now and then, since any outgoing connection on the machine may
// take the port in between. The second and third byte are derived from the
// process id, the fourth and the port from the number of the call.
func Address() netip.AddrPort {
	pid, number := os.Getpid(), int(issued.Add(1)-1)
	address := netip.AddrFrom4([4]byte{
		127, byte(1 + pid%valuesPerByte), byte(1 + pid/valuesPerByte%valuesPerByte), byte(1 + number%valuesPerByte),
	})
	return netip.AddrPortFrom(address, uint16(firstPort+number/valuesPerByte))
}
