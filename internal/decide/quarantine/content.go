package quarantine

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Content is what makes two requests the same for the instance that runs them. It has no id, since each repeat by a caller has another one.
type Content struct {
	// Organisation is empty for a sub-call.
	Organisation string
	Route        string
	Method       string
	Host         string
	Target       string
	Body         []byte
}

// Salt is the key of fingerprints. Without it, a fingerprint in a log or a message would confirm a guess of the content.
type Salt [16]byte

// NewSalt returns a random salt.
func NewSalt() Salt {
	var salt Salt
	_, _ = rand.Read(salt[:]) // it never returns an error.
	return salt
}

// Fingerprint identifies a content among those with the same salt.
type Fingerprint uint64

// Fingerprint returns the content's keyed hash.
func (c *Content) Fingerprint(salt Salt) Fingerprint {
	h := sha256.New()
	_, _ = h.Write(salt[:])
	for _, part := range []string{c.Organisation, c.Route, c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
