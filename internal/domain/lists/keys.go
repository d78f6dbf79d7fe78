package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is one organisation key; only its hash is published.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Keys is the operators' list of valid keys; a key that is not listed is rejected.
type Keys struct {
	Keys []Key `json:"keys"`
}

// HashKey returns the hash that is published for a key.
func HashKey(key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(key))
}

// Faults returns the faults of a list that contains only this key.
func (k Key) Faults() Faults {
	f := &faultList{}
	(&Keys{Keys: []Key{k}}).check(f)
	return f.faults
}

func (k *Key) check(entry entryRef) {
	entry.checkName("id", k.ID)
	entry.checkName("organisation", k.Organisation)
	if len(k.SHA256) != hex.EncodedLen(sha256.Size) || strings.Trim(k.SHA256, "0123456789abcdef") != "" {
		entry.addFault("sha256", "must be 64 lower-case hexadecimal digits")
	}
}

func (k *Key) appendHashes(hashes []uint64) []uint64 {
	return append(hashes, xxhash.Sum64String(k.ID), ^xxhash.Sum64String(k.SHA256))
}

func (k *Keys) check(f *faultList) {
	ids := map[string]int{}
	hashes := map[string]int{}
	for i, key := range k.Keys {
		entry := f.entry("keys", i)
		if first, dup := ids[key.ID]; dup {
			entry.addFault("id", "duplicate of keys[%d] (%q)", first, key.ID)
		}
		ids[key.ID] = i
		if first, dup := hashes[key.SHA256]; dup {
			entry.addFault("sha256", "same hash as keys[%d]", first)
		}
		hashes[key.SHA256] = i
		key.check(entry)
	}
}
