package loops

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// probe marks a connection of the process with itself that shows that a loop runs.
type probe struct {
	once     sync.Once
	answered chan struct{}
}

func (p *probe) answer(*nbio.Conn, []byte) { p.once.Do(func() { close(p.answered) }) }

func isProbe(c *nbio.Conn) bool {
	_, ok := c.Session().(*probe)
	return ok
}

// mostProbes bounds the connections opened to reach every loop: nbio picks the
// loop by the file descriptor, and neighbouring descriptors reach neighbouring loops.
const mostProbes = 256

// Await returns once each of a started engine's event loops has answered; the error tells why one can't be reached.
func Await(engine *nbio.Engine, loops int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "loops: listen")
	}
	defer func() { _ = l.Close() }()
	reached := map[int]bool{}
	for tries := 0; len(reached) < loops; tries++ {
		if tries == mostProbes {
			return errors.Errorf("loops: %d of %d reached", len(reached), loops)
		}
		far, near, err := pair(l)
		if err != nil {
			return err
		}
		// Open until the end, so that the next pair has other descriptors.
		defer func() { _ = far.Close() }()
		if reached[near.Hash()%loops] {
			// Closed at once: with both ends kept, every next pair would be two descriptors on and reach this loop again.
			_ = near.Close()
			continue
		}
		reached[near.Hash()%loops] = true
		if err := await(engine, far, near); err != nil {
			return err
		}
	}
	return nil
}

func pair(l net.Listener) (far net.Conn, near *nbio.Conn, err error) {
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "loops: dial")
	}
	accepted, err := l.Accept()
	if err != nil {
		_ = far.Close()
		return nil, nil, errors.Wrap(err, "loops: accept")
	}
	near, err = nbio.NBConn(accepted)
	if err != nil {
		_ = far.Close()
		return nil, nil, errors.Wrap(err, "loops: probe")
	}
	return far, near, nil
}

func await(engine *nbio.Engine, far net.Conn, near *nbio.Conn) error {
	p := &probe{answered: make(chan struct{})}
	near.SetSession(p)
	// nbhttp passes data on to the connection's own handler.
	near.OnData(p.answer)
	if _, err := engine.AddConn(near); err != nil {
		return errors.Wrap(err, "loops: add")
	}
	if _, err := far.Write([]byte{0}); err != nil {
		return errors.Wrap(err, "loops: write")
	}
	<-p.answered
	return nil
}
