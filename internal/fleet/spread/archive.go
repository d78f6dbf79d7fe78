package spread

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Splice is a change from one version of a value to a later one: it replaces all
// bytes between the first Prefix and the last Suffix bytes by Middle.
type Splice struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	From     uint64
	To       uint64
	Prefix   int
	Suffix   int
	Middle   []byte
}

// Packet carries a value to a peer: whole, or as splices to apply to the version that the peer has.
type Packet struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Version  uint64
	// Sum is the xxhash of the whole value, which detects splices that were applied to other bytes than they were made for.
	Sum     uint64
	Whole   []byte
	Splices []Splice
}

// ErrSplice means that a packet doesn't fit the value it was applied to; the whole value is needed.
var ErrSplice = errors.New("spread: splices don't fit the current value")

// ErrNothingNewer means that the peer had no version above the receiver's.
var ErrNothingNewer = errors.New("spread: the peer has no newer version")

const (
	// maxSplices covers a burst of changes between two exchanges with a peer.
	maxSplices = 8
	// maxSpliceBytes bounds the memory that the splices of one list take.
	maxSpliceBytes = 128 << 10
	// spliceSizeDivisor limits the splices in a packet to this fraction of the value's size; beyond it the whole value is sent.
	spliceSizeDivisor = 2
)

// Archive keeps the values in force and the most recent changes to them as splices.
//
// A change to one organisation or one host alters a few hundred bytes of a value of up to a
// megabyte. If values were sent whole at 2,800 changes a day, a host list of 3,400 entries
// alone would take several times the 4 KB/s that a daemon may use.
type Archive struct {
	values  [lists.Kinds]lists.Value
	splices [lists.Kinds][]Splice
}

// Store records a value that came into force.
func (a *Archive) Store(v lists.Value) {
	previous := a.values[v.Kind]
	a.values[v.Kind] = v
	if previous.Version == 0 {
		return
	}
	splices := append(a.splices[v.Kind], newSplice(previous, v))
	for len(splices) > maxSplices || middleBytes(splices) > maxSpliceBytes {
		splices = splices[1:]
	}
	a.splices[v.Kind] = splices
}

func middleBytes(splices []Splice) int {
	size := 0
	for _, s := range splices {
		size += len(s.Middle)
	}
	return size
}

func newSplice(before, after lists.Value) Splice {
	prefix, suffix := lists.CommonPrefixSuffix(before.Raw, after.Raw)
	middle := bytes.Clone(after.Raw[prefix : len(after.Raw)-suffix])
	return Splice{From: before.Version, To: after.Version, Prefix: prefix, Suffix: suffix, Middle: middle}
}

// Packet returns the value in force for a peer that has the given version; version 0 in the packet means that there is nothing newer.
func (a *Archive) Packet(f Fetch) Packet {
	v := a.values[f.Kind]
	if v.Version <= f.Have {
		return Packet{}
	}
	p := Packet{Version: v.Version, Sum: xxhash.Sum64(v.Raw)}
	if p.Splices = a.splicesSince(f); p.Splices == nil {
		p.Whole = v.Raw
	}
	return p
}

// splicesSince returns the splices from the peer's version to the one in force, or nil if they are missing or too large.
func (a *Archive) splicesSince(f Fetch) []Splice {
	splices := a.splices[f.Kind]
	maxSize := len(a.values[f.Kind].Raw) / spliceSizeDivisor
	for i, s := range splices {
		if s.From != f.Have {
			continue
		}
		if middleBytes(splices[i:]) > maxSize {
			return nil
		}
		return splices[i:]
	}
	return nil
}

// Open returns the value that the packet carries for a receiver that has the given
// value; the error is ErrSplice or ErrNothingNewer.
//
// A peer without a newer version sends an empty packet: the whole value would be
// the same megabyte that the receiver has.
func (p *Packet) Open(have lists.Value) (lists.Value, error) {
	if p.Version <= have.Version {
		return lists.Value{}, errors.Wrapf(ErrNothingNewer, "version %d at version %d", p.Version, have.Version)
	}
	v := lists.Value{Kind: have.Kind, Version: p.Version, Raw: p.Whole}
	if p.Splices != nil {
		v.Raw = have.Raw
		version := have.Version
		for _, s := range p.Splices {
			if s.From != version || !s.fits(len(v.Raw)) {
				return lists.Value{}, errors.Wrapf(ErrSplice, "from version %d at version %d", s.From, version)
			}
			v.Raw = s.apply(v.Raw)
			version = s.To
		}
	}
	if xxhash.Sum64(v.Raw) != p.Sum {
		return lists.Value{}, errors.Wrapf(ErrSplice, "version %d has another checksum", p.Version)
	}
	return v, nil
}

func (s *Splice) fits(size int) bool {
	return s.Prefix >= 0 && s.Suffix >= 0 && s.Prefix <= size && s.Suffix <= size-s.Prefix
}

func (s *Splice) apply(raw []byte) []byte {
	out := make([]byte, 0, s.Prefix+len(s.Middle)+s.Suffix)
	out = append(out, raw[:s.Prefix]...)
	out = append(out, s.Middle...)
	return append(out, raw[len(raw)-s.Suffix:]...)
}
