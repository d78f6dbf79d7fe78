package spread

import (
	"time"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/fleet/member"
)

// Versions holds a version for each list; 0 means none.
type Versions = [lists.Kinds]uint64

// Digest is what a daemon tells a peer of itself: about a hundred bytes, whatever the lists weigh.
type Digest struct {
	//lint:ignore U1000 read by msgpack
	_msgpack    struct{} `msgpack:",as_array"`
	Host        string
	Incarnation uint64
	// Versions are those in force; a rejected version is never told, so nobody is led to fetch it.
	Versions Versions
	// Ready tells that the daemon takes callers, so that its versions were confirmed by others.
	Ready   bool
	Leaving bool
	// Age is the time since the platform last answered anyone this daemon heard of; negative means never.
	Age  time.Duration
	News []member.News
}

// Fetch asks a peer for a list's value.
type Fetch struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Kind     lists.Kind
	// Have is the version in force at the one who asks, from which the answer may be a delta.
	Have uint64
}
