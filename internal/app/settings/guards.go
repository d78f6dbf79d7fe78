package settings

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Guards are the settings that authenticate peers, keep requests from running twice, and bound what callers can occupy.
type Guards struct {
	// Secrets are the fleet's secrets: this daemon authenticates with the first and accepts all of them from its peers.
	Secrets []string
	// OnceIdle is how long a connection to the upstream may have been idle to carry a request that may not be retried.
	OnceIdle time.Duration
	// RepeatWindow is how long an idempotency key is remembered after its request.
	RepeatWindow time.Duration
	// RepeatKeys bounds the number of idempotency keys remembered, RepeatBytes the size of the responses kept with them.
	RepeatKeys  int
	RepeatBytes int
	// HeldBytes bounds the total size of the request bodies that the daemon holds at once, and that of response bodies.
	HeldBytes int
	// HeaderBound bounds the size of a request's header in bytes, HeaderTime how long it may take to arrive.
	HeaderBound int
	HeaderTime  time.Duration
}

// minSecretLength is the minimum length of a secret in bytes: short enough to type, and too long to guess.
const minSecretLength = 16

func (g *Guards) bind(b *binder) {
	bindValue(b, &g.Secrets, "fleet-secrets", "", "secrets of the fleet, the one in use first, separated by commas; better given in the environment", parseSecrets)
	b.duration(&g.OnceIdle, "once-idle", time.Second, "longest idle time of an upstream's connection for a request that may not be repeated; below the upstream's own", time.Millisecond, time.Minute)
	b.duration(&g.RepeatWindow, "repeat-window", 10*time.Minute, "how long an idempotency key is remembered", time.Second, time.Hour)
	b.count(&g.RepeatKeys, "repeat-keys", 20_000, "idempotency keys remembered", 16, 1_000_000)
	b.count(&g.RepeatBytes, "repeat-bytes", 4<<20, "bytes of answers remembered with idempotency keys", 0, 1<<30)
	b.count(&g.HeldBytes, "held-bytes", 256<<20, "bytes of request bodies held at once, and as many of response bodies", 1024, 1<<36)
	b.count(&g.HeaderBound, "header-bound", 32<<10, "bytes of one request's head", 1024, 1<<20)
	b.duration(&g.HeaderTime, "header-time", 5*time.Second, "longest time for a request's head to arrive", 10*time.Millisecond, time.Minute)
}

func parseSecrets(raw string) ([]string, error) {
	if raw == "" {
		return nil, nil
	}
	all := strings.Split(raw, ",")
	for i, secret := range all {
		if len(secret) < minSecretLength {
			return nil, errors.Errorf("secret %d has %d characters, expected at least %d", i+1, len(secret), minSecretLength)
		}
	}
	return all, nil
}

func (s *Settings) checkGuards(b *binder) {
	if s.HeldBytes < s.BodyBound {
		b.fault("-held-bytes (%d) is below -body-bound (%d): a body of the largest allowed size would never fit", s.HeldBytes, s.BodyBound)
	}
}
