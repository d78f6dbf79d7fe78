package ledger

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key names one request that its caller may repeat; it holds within one organisation and operation.
type Key struct {
	Organisation string `msgpack:"organisation"`
	Operation    string `msgpack:"operation"`
	Text         string `msgpack:"text"`
}

// Fingerprint tells a repeat from another request that was given the same key.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the print of a request.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Holder returns the host that holds the key, the same for all daemons with the same hosts, or "".
//
// It is a rendezvous hash: a host that joins or goes moves its own keys only.
func Holder(k Key, hosts []string) string {
	best, most := "", uint64(0)
	for _, host := range hosts {
		weight := xxhash.Sum64String(host + "\x00" + k.Organisation + "\x00" + k.Operation + "\x00" + k.Text)
		if best == "" || weight > most || (weight == most && host < best) {
			best, most = host, weight
		}
	}
	return best
}

// Skew is the greatest difference assumed between a caller's clock and a daemon's.
const Skew = 2 * time.Second

const uuidTimeOrdered = 7

// Age returns how long ago the key can have been used first, at most.
//
// A UUID of version 7 tells when it was made, so that a daemon which lost its
// memory knows a new key from one that may have come before. Any other key may
// be as old as the window in which callers repeat.
func (k Key) Age(now time.Time, window time.Duration) time.Duration {
	id, err := uuid.Parse(k.Text)
	if err != nil || id.Version() != uuidTimeOrdered {
		return window
	}
	seconds, nanos := id.Time().UnixTime()
	return max(now.Sub(time.Unix(seconds, nanos)), 0) + Skew
}
