package key

import (
	"crypto/rand"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// prefix lets people and secret scanners tell what a key that turned up is for.
const prefix = "fxh_"

// minLength is the shortest key of an organisation's own that is taken, in
// bytes: the published hash of a shorter one could be searched.
const minLength = 20

// Pair is a key with the entry that publishes its hash.
type Pair struct {
	// Key is the secret for the organisation; it is kept nowhere.
	Key   string    `json:"key"`
	Entry lists.Key `json:"entry"`
}

// New returns a key of 130 random bits for the organisation under the id; the error names what the list would reject.
func New(organisation, id string) (Pair, error) {
	return Of(prefix+rand.Text(), organisation, id)
}

// Of returns the pair for a key that the organisation already has; the error names what the list would reject.
func Of(key, organisation, id string) (Pair, error) {
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
