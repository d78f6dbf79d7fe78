package choice

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailhook/foxtailhook/internal/domain/routing"
)

// ByFingerprint chooses the instance that daemons with the same candidates all choose for a fingerprint, or false if all are excluded or draining. The
// loss of another candidate doesn't change the choice.
func ByFingerprint(fingerprint uint64, candidates []routing.Instance, excluded map[string]bool) (routing.Instance, bool) {
	best, found, highest := routing.Instance{}, false, uint64(0)
	for i := range candidates {
		if candidates[i].Draining || excluded[candidates[i].ID] {
			continue
		}
		if score := scoreOf(fingerprint, candidates[i].ID); !found || score > highest {
			best, found, highest = candidates[i], true, score
		}
	}
	return best, found
}

// scoreOf returns the rank of an instance for a fingerprint.
func scoreOf(fingerprint uint64, id string) uint64 {
	raw := binary.BigEndian.AppendUint64(make([]byte, 0, 64), fingerprint)
	return xxhash.Sum64(append(raw, id...))
}
