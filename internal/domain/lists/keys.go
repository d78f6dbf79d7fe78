package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is one organisation key, known only by its hash.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Keys is the operators' list of the keys in force; a key that is not on it doesn't work.
type Keys struct {
	Keys []Key `json:"keys"`
}

// HashKey returns the hash under which a key is published.
func HashKey(key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(key))
}

// Faults returns what a list with this key alone would be rejected for.
func (k Key) Faults() Faults {
	f := &faults{}
	(&Keys{Keys: []Key{k}}).check(f)
	return f.list
}

func (k *Key) check(at place) {
	at.name("id", k.ID)
	at.name("organisation", k.Organisation)
	if len(k.SHA256) != hex.EncodedLen(sha256.Size) || strings.Trim(k.SHA256, "0123456789abcdef") != "" {
		at.add("sha256", "must be 64 lower-case hexadecimal digits")
	}
}

func (k *Key) marks(into []uint64) []uint64 {
	return append(into, xxhash.Sum64String(k.ID), ^xxhash.Sum64String(k.SHA256))
}

func (k *Keys) check(f *faults) {
	ids := map[string]int{}
	hashes := map[string]int{}
	for i, e := range k.Keys {
		at := f.at("keys", i)
		if first, dup := ids[e.ID]; dup {
			at.add("id", "duplicate of keys[%d] (%q)", first, e.ID)
		}
		ids[e.ID] = i
		if first, dup := hashes[e.SHA256]; dup {
			at.add("sha256", "same hash as keys[%d]", first)
		}
		hashes[e.SHA256] = i
		e.check(at)
	}
}
