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

// A connection starts with a handshake in which both sides prove that they know the fleet's secret:
//
//	dialer   → preamble, nonce
//	listener → nonce
//	dialer   → HMAC(secret, "dialer", both nonces)
//	listener → HMAC(secret, "listener", both nonces)
//
// Without it, anyone who reaches the port could forward a request with any
// organisation, priority and budget, and a process on a
// reused address could be taken for a peer. The nonces prevent replay of a recorded
// handshake, and the two roles prevent reflection of a proof to the side that
// computed it.
const (
	preamble  = "fxh2"
	nonceSize = 16
	proofSize = sha256.Size
	helloSize = len(preamble) + nonceSize

	roleDialer   = "dialer"
	roleListener = "listener"
)

var (
	errNotPeer = errors.New("peer: connection does not start with the preamble fxh2")
	errSecret  = errors.New("peer: the other side did not prove the fleet's secret")
)

// noSecret is the secret of a fleet for which none is configured.
const noSecret = ""

func computeProof(secret, role string, dialer, listener []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(role))
	mac.Write(dialer)
	mac.Write(listener)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	return nonce
}

// dialerHandshake performs the dialer's side of the handshake on a connection that is still blocking.
func dialerHandshake(c net.Conn, secret string, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "peer: set handshake deadline")
	}
	ownNonce := newNonce()
	if _, err := c.Write(append([]byte(preamble), ownNonce...)); err != nil {
		return errors.Wrap(err, "peer: send preamble and nonce")
	}
	peerNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, peerNonce); err != nil {
		return errors.Wrap(err, "peer: read the listener's nonce")
	}
	if _, err := c.Write(computeProof(secret, roleDialer, ownNonce, peerNonce)); err != nil {
		return errors.Wrap(err, "peer: send the dialer's proof")
	}
	proof := make([]byte, proofSize)
	if _, err := io.ReadFull(c, proof); err != nil {
		return errors.Wrap(err, "peer: read the listener's proof")
	}
	if !hmac.Equal(proof, computeProof(secret, roleListener, ownNonce, peerNonce)) {
		return errSecret
	}
	return errors.Wrap(c.SetDeadline(time.Time{}), "peer: clear handshake deadline")
}

// listenerHandshake is the listener's side of the handshake, fed with bytes as they arrive.
type listenerHandshake struct {
	secrets  []string
	buffer   []byte
	ownNonce []byte
	done     bool
}

// feed reads bytes and returns those after the handshake; it buffers no more than the handshake's own.
func (h *listenerHandshake) feed(data []byte, send func([]byte)) ([]byte, error) {
	if h.ownNonce == nil {
		data = h.bufferUpTo(data, helloSize)
		if len(h.buffer) >= len(preamble) && string(h.buffer[:len(preamble)]) != preamble {
			return nil, errNotPeer
		}
		if len(h.buffer) < helloSize {
			return nil, nil
		}
		h.ownNonce = newNonce()
		send(h.ownNonce)
	}
	data = h.bufferUpTo(data, helloSize+proofSize)
	if len(h.buffer) < helloSize+proofSize {
		return nil, nil
	}
	secret, ok := h.matchSecret()
	if !ok {
		return nil, errSecret
	}
	send(computeProof(secret, roleListener, h.peerNonce(), h.ownNonce))
	h.done = true
	h.buffer = nil
	return data, nil
}

func (h *listenerHandshake) peerNonce() []byte { return h.buffer[len(preamble):helloSize] }

func (h *listenerHandshake) bufferUpTo(data []byte, size int) []byte {
	n := min(len(data), max(size-len(h.buffer), 0))
	h.buffer = append(h.buffer, data[:n]...)
	return data[n:]
}

// matchSecret returns the accepted secret that the dialer proved; while the fleet's secret is changed, two are accepted.
func (h *listenerHandshake) matchSecret() (string, bool) {
	found, ok := "", false
	for _, secret := range h.secrets {
		if hmac.Equal(h.buffer[helloSize:], computeProof(secret, roleDialer, h.peerNonce(), h.ownNonce)) {
			found, ok = secret, true
		}
	}
	return found, ok
}
