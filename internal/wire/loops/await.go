package loops

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// probe is the session of a connection from the process to itself; data that is handled on it shows that the event loop runs.
type probe struct {
	once     sync.Once
	answered chan struct{}
}

func (p *probe) answer(*nbio.Conn, []byte) { p.once.Do(func() { close(p.answered) }) }

func isProbe(c *nbio.Conn) bool {
	_, ok := c.Session().(*probe)
	return ok
}

// maxProbes limits the number of connections opened to reach every loop: nbio picks the
// loop by the file descriptor, and consecutive descriptors reach consecutive loops.
const maxProbes = 256

// Await returns once each of the count event loops of a started engine has answered a probe, or an error if one can't be reached.
func Await(engine *nbio.Engine, count int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "loops: listen")
	}
	defer func() { _ = l.Close() }()
	reached := map[int]bool{}
	for attempt := 0; len(reached) < count; attempt++ {
		if attempt == maxProbes {
			return errors.Errorf("loops: only %d of %d event loops reached", len(reached), count)
		}
		client, server, err := connect(l)
		if err != nil {
			return err
		}
		// Kept open until the end, so that the next connection has other descriptors.
		defer func() { _ = client.Close() }()
		if reached[server.Hash()%count] {
			// Closed at once: if both ends stayed open, the descriptors of each further connection would be two higher and
			// could reach this loop again every time.
			_ = server.Close()
			continue
		}
		reached[server.Hash()%count] = true
		if err := awaitLoop(engine, client, server); err != nil {
			return err
		}
	}
	return nil
}

// connect returns both ends of a connection to the listener.
func connect(l net.Listener) (client net.Conn, server *nbio.Conn, err error) {
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "loops: dial")
	}
	accepted, err := l.Accept()
	if err != nil {
		_ = client.Close()
		return nil, nil, errors.Wrap(err, "loops: accept")
	}
	server, err = nbio.NBConn(accepted)
	if err != nil {
		_ = client.Close()
		return nil, nil, errors.Wrap(err, "loops: probe")
	}
	return client, server, nil
}

// awaitLoop adds the server's end to the engine and waits until its loop has handled a byte from the client's end.
func awaitLoop(engine *nbio.Engine, client net.Conn, server *nbio.Conn) error {
	p := &probe{answered: make(chan struct{})}
	server.SetSession(p)
	// nbhttp passes the data to the connection's own handler.
	server.OnData(p.answer)
	if _, err := engine.AddConn(server); err != nil {
		return errors.Wrap(err, "loops: add")
	}
	if _, err := client.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "loops: write")
	}
	<-p.answered
	return nil
}
