package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// A connection opens with a mutual proof of the fleet's secret:
//
//	dialer   → preamble, nonce
//	listener → nonce
//	dialer   → HMAC(secret, "dialer", both nonces)
//	listener → HMAC(secret, "listener", both nonces)
//
// Whoever reaches the port could otherwise hand on a request with an
// organisation, a priority and a budget of his choice, and a process on a
// reused address could be taken for a peer. The nonces make a recorded
// handshake worthless, the two names keep a proof from being sent back to
// whoever gave it.
const (
	preamble  = "fxh2"
	nonceSize = 16
	proofSize = sha256.Size
	helloSize = len(preamble) + nonceSize

	nameDialer   = "dialer"
	nameListener = "listener"
)

var (
	errNotPeer = errors.New("peer: bytes on the port are not a peer's")
	errSecret  = errors.New("peer: the other side does not know the fleet's secret")
)

// noSecret is the secret of a fleet that was given none.
const noSecret = ""

func prove(secret, name string, dialer, listener []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(name))
	mac.Write(dialer)
	mac.Write(listener)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

// greet is the dialer's part; the connection is still a blocking one.
func greet(c net.Conn, secret string, limit time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	mine := newNonce()
	if _, err := c.Write(append([]byte(preamble), mine...)); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	theirs := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	if _, err := c.Write(prove(secret, nameDialer, mine, theirs)); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	proof := make([]byte, proofSize)
	if _, err := io.ReadFull(c, proof); err != nil {
		return errors.Wrap(err, "peer: handshake")
	}
	if !hmac.Equal(proof, prove(secret, nameListener, mine, theirs)) {
		return errSecret
	}
	return errors.Wrap(c.SetDeadline(time.Time{}), "peer: handshake")
}

// greeting is the listener's part, fed with bytes as they come.
type greeting struct {
	secrets []string
	buffer  []byte
	mine    []byte
	done    bool
}

// feed takes bytes and returns those behind the handshake; it holds no more than the handshake's few.
func (g *greeting) feed(data []byte, send func([]byte)) ([]byte, error) {
	if g.mine == nil {
		data = g.gather(data, helloSize)
		if len(g.buffer) >= len(preamble) && string(g.buffer[:len(preamble)]) != preamble {
			return nil, errNotPeer
		}
		if len(g.buffer) < helloSize {
			return nil, nil
		}
		g.mine = newNonce()
		send(g.mine)
	}
	data = g.gather(data, helloSize+proofSize)
	if len(g.buffer) < helloSize+proofSize {
		return nil, nil
	}
	secret, ok := g.match()
	if !ok {
		return nil, errSecret
	}
	send(prove(secret, nameListener, g.theirs(), g.mine))
	g.done = true
	g.buffer = nil
	return data, nil
}

func (g *greeting) theirs() []byte { return g.buffer[len(preamble):helloSize] }

func (g *greeting) gather(data []byte, upTo int) []byte {
	n := min(len(data), max(upTo-len(g.buffer), 0))
	g.buffer = append(g.buffer, data[:n]...)
	return data[n:]
}

// match finds which of the accepted secrets the dialer proved; during a change of secret there are two.
func (g *greeting) match() (string, bool) {
	found, ok := "", false
	for _, secret := range g.secrets {
		if hmac.Equal(g.buffer[helloSize:], prove(secret, nameDialer, g.theirs(), g.mine)) {
			found, ok = secret, true
		}
	}
	return found, ok
}
