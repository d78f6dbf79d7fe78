package spread

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// Versions holds a version for each list; 0 means none.
type Versions = [lists.Kinds]uint64

// Digest is what a daemon reports of itself to a peer: about a hundred bytes, regardless of the size of the lists.
type Digest struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Host        string
	Incarnation uint64
	// Versions are those in force; a rejected version is never reported, so that no peer fetches it.
	Versions Versions
	// Ready means that the daemon takes callers, so its versions were confirmed.
	Ready   bool
	Leaving bool
	// Age is the time since the platform last answered any daemon, as far as this one knows; negative means unknown.
	Age  time.Duration
	News []member.News
}

// Fetch asks a peer for a list's value.
type Fetch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Kind     lists.Kind
	// Have is the version in force at the asking daemon, so that the packet may carry splices onto it.
	Have uint64
}
