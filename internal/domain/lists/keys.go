package lists

import (
	"crypto/sha256"
	"encoding/hex"
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

func (k *Keys) check(f *faults) {
	ids := map[string]int{}
	hashes := map[string]int{}
	for i, e := range k.Keys {
		at := f.at("keys", i)
		at.name("id", e.ID)
		at.name("organisation", e.Organisation)
		if first, dup := ids[e.ID]; dup {
			at.add("id", "duplicate of keys[%d] (%q)", first, e.ID)
		}
		ids[e.ID] = i
		raw, err := hex.DecodeString(e.SHA256)
		if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != e.SHA256 {
			at.add("sha256", "must be 64 lower-case hexadecimal digits")
		}
		if first, dup := hashes[e.SHA256]; dup {
			at.add("sha256", "same hash as keys[%d]", first)
		}
		hashes[e.SHA256] = i
	}
}
