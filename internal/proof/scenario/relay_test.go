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
	// passes delivers them.
	passes delivery = iota
	// holds delivers them later, as after a partition over which TCP sends them again.
	holds
	// drops never delivers them, nor anything more on their connection: a switch
	// that dies, or a firewall that has lost its state.
	drops
)

// relays forward connections between hosts and can cut any pair of them. A
// daemon's connections come from its own address, which tells who is calling.
type relays struct {
	fleet *fleet

	mu         sync.Mutex
	names      map[netip.Addr]string
	deliveries map[[2]string]delivery
	open       map[net.Conn]bool
	listeners  []net.Listener
}

// joint is two connections that are joined.
type joint struct {
	pair [2]string
	lost atomic.Bool
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
		pair := [2]string{r.caller(in), name}
		go r.forward(in, to, pair)
	}
}

// know notes the host that speaks from the address.
func (r *relays) know(address netip.Addr, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names[address] = name
}

func (r *relays) caller(in net.Conn) string {
	remote, _ := netip.ParseAddrPort(in.RemoteAddr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	if name, ok := r.names[remote.Addr()]; ok {
		return name
	}
	return "outside"
}

// forward joins two connections. On a pair that doesn't pass, the new connection
// hangs unanswered, as it does behind a switch that drops packets.
func (r *relays) forward(in net.Conn, to netip.AddrPort, pair [2]string) {
	defer r.keep(in)()
	j := &joint{pair: pair}
	r.hold(pair)
	if r.loses(j) {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	out, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return
	}
	defer r.keep(out)()
	var both sync.WaitGroup
	both.Go(func() { r.pump(in, out, j) })
	both.Go(func() { r.pump(out, in, j) })
	both.Wait()
}

// keep notes an open connection and returns what closes it.
func (r *relays) keep(c net.Conn) func() {
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

const holdLook = 10 * time.Millisecond

// hold waits while the pair's bytes are held.
func (r *relays) hold(pair [2]string) {
	for r.delivery(pair) == holds {
		time.Sleep(holdLook)
	}
}

// loses reports whether what came on the connection is lost; then all that follows is lost as well.
func (r *relays) loses(j *joint) bool {
	if r.delivery(j.pair) == drops {
		j.lost.Store(true)
	}
	return j.lost.Load()
}

func (r *relays) delivery(pair [2]string) delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deliveries[pair]
}

// pump copies one direction. The other end doesn't hear of the end of a connection that has lost bytes.
func (r *relays) pump(to, from net.Conn, j *joint) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		r.hold(j.pair)
		lost := r.loses(j)
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

// set says what becomes of the bytes between two names, in both directions.
func (r *relays) set(a, b string, d delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliveries[[2]string{a, b}] = d
	r.deliveries[[2]string{b, a}] = d
}

func (r *relays) end() {
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
