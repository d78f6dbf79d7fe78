package key

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// prefix lets people and secret scanners recognise a leaked key.
const prefix = "fxh_"

// minLength is the minimum length in bytes of a key that an organisation
// already has; a shorter one could be found from its published hash by exhaustive search.
const minLength = 20

// Pair is a key with the list entry that publishes its hash.
type Pair struct {
	// Key is the organisation's secret; it isn't stored anywhere.
	Key   string    `json:"key"`
	Entry lists.Key `json:"entry"`
}

// New returns a key of 130 random bits with the organisation and the id; the error names what the list would reject.
func New(organisation, id string) (Pair, error) {
	return Existing(prefix+rand.Text(), organisation, id)
}

// Existing returns the pair for a key that the organisation already has; the error names what the list would reject.
func Existing(key, organisation, id string) (Pair, error) {
	if len(key) < minLength || strings.ContainsAny(key, " \t\r\n") {
		return Pair{}, errors.Errorf("a key has at least %d characters, without blanks", minLength)
	}
	hash := lists.HashKey(key)
	entry := lists.Key{ID: id, Organisation: organisation, SHA256: hex.EncodeToString(hash[:])}
	if faults := entry.Faults(); len(faults) > 0 {
		return Pair{}, faults
	}
	return Pair{Key: key, Entry: entry}, nil
}
