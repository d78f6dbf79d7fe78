package scenario

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// delivery is what the network does with the bytes between a pair of hosts.
type delivery uint8

const (
	// deliverBytes delivers them at once.
	deliverBytes delivery = iota
	// holdBytes delivers them later, as TCP does by retransmission after a partition.
	holdBytes
	// dropBytes never delivers them, nor anything more on their connection, as when a
	// switch fails or a firewall loses its state.
	dropBytes
)

// relays forward connections between hosts and can partition any pair of them. A
// daemon connects from its own address, by which the relay identifies it.
type relays struct {
	fleet *fleet

	mu         sync.Mutex
	names      map[netip.Addr]string
	deliveries map[[2]string]delivery
	open       map[net.Conn]bool
	listeners  []net.Listener
}

// connection is a forwarded connection from one host to another.
type connection struct {
	hosts [2]string
	lost  atomic.Bool
}

func newRelays(f *fleet) *relays {
	return &relays{fleet: f, names: map[netip.Addr]string{}, deliveries: map[[2]string]delivery{}, open: map[net.Conn]bool{}}
}

// listen starts the relay in front of a destination.
func (r *relays) listen(last byte, port uint16, to netip.AddrPort, name string) error {
	l, err := net.Listen("tcp", r.fleet.address(last, port).String())
	if err != nil {
		return errors.Wrap(err, "scenario: relay")
	}
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	go r.accept(l, to, name)
	return nil
}

func (r *relays) accept(l net.Listener, to netip.AddrPort, name string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		pair := [2]string{r.callerName(in), name}
		go r.forward(in, to, pair)
	}
}

// register records the name of the host that connects from the address.
func (r *relays) register(address netip.Addr, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names[address] = name
}

func (r *relays) callerName(in net.Conn) string {
	remote, _ := netip.ParseAddrPort(in.RemoteAddr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	if name, ok := r.names[remote.Addr()]; ok {
		return name
	}
	return "outside"
}

// forward forwards an accepted connection to its destination. While bytes between
// the two hosts are held or dropped, it gets no response, as behind a switch that
// drops packets.
func (r *relays) forward(in net.Conn, to netip.AddrPort, pair [2]string) {
	defer r.track(in)()
	c := &connection{hosts: pair}
	r.waitWhileHeld(pair)
	if r.drops(c) {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return
	}
	defer r.track(out)()
	var both sync.WaitGroup
	both.Go(func() { r.copyBytes(in, out, c) })
	both.Go(func() { r.copyBytes(out, in, c) })
	both.Wait()
}

// track records an open connection and returns a function that closes it.
func (r *relays) track(c net.Conn) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = true
	return func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, c)
	}
}

const holdPollInterval = 10 * time.Millisecond

// waitWhileHeld waits while bytes between the pair are held.
func (r *relays) waitWhileHeld(pair [2]string) {
	for r.delivery(pair) == holdBytes {
		time.Sleep(holdPollInterval)
	}
}

// drops reports whether bytes of the connection are dropped; once they are, all that follow are dropped as well.
func (r *relays) drops(c *connection) bool {
	if r.delivery(c.hosts) == dropBytes {
		c.lost.Store(true)
	}
	return c.lost.Load()
}

func (r *relays) delivery(pair [2]string) delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deliveries[pair]
}

// copyBytes copies one direction. If bytes were dropped, the end of one side is not passed on to the other.
func (r *relays) copyBytes(to, from net.Conn, c *connection) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		r.waitWhileHeld(c.hosts)
		lost := r.drops(c)
		if n > 0 && !lost {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if !lost {
			_ = to.Close()
			_ = from.Close()
		}
		return
	}
}

// set sets the delivery of bytes between two names, in both directions.
func (r *relays) set(a, b string, d delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveries[[2]string{a, b}] = d
	r.deliveries[[2]string{b, a}] = d
}

func (r *relays) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for c := range r.open {
		_ = c.Close()
	}
	r.deliveries = map[[2]string]delivery{}
}
