package ledger

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key identifies one request that its caller may retry; it is unique within one organisation and operation.
type Key struct {
	Organisation string `msgpack:"organisation"`
	Operation    string `msgpack:"operation"`
	Text         string `msgpack:"text"`
}

// Fingerprint distinguishes a client retry from another request with the same key.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Holder returns the host that holds the key, or "" without hosts; daemons with the same hosts get the same holder.
//
// It is a rendezvous hash: a host that joins or leaves changes the holder of its own keys only.
func Holder(k Key, hosts []string) string {
	holder, maxWeight := "", uint64(0)
	for _, host := range hosts {
		weight := xxhash.Sum64String(host + "\x00" + k.Organisation + "\x00" + k.Operation + "\x00" + k.Text)
		if holder == "" || weight > maxWeight || (weight == maxWeight && host < holder) {
			holder, maxWeight = host, weight
		}
	}
	return holder
}

// MaxClockSkew is the maximum difference assumed between a caller's clock and a daemon's.
const MaxClockSkew = 2 * time.Second

const uuidVersionTimeOrdered = 7

// MaxAge returns the maximum time since the key can have been used first.
//
// A UUID of version 7 contains its creation time, so that a daemon without
// records from before its start can still recognise a new key. Any other key may
// be as old as the window in which callers retry.
func (k Key) MaxAge(now time.Time, window time.Duration) time.Duration {
	id, err := uuid.Parse(k.Text)
	if err != nil || id.Version() != uuidVersionTimeOrdered {
		return window
	}
	seconds, nanos := id.Time().UnixTime()
	return max(now.Sub(time.Unix(seconds, nanos)), 0) + MaxClockSkew
}
