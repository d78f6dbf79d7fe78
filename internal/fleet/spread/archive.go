package spread

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

// Splice turns one version of a value into a later one by replacing its middle.
type Splice struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	From     uint64
	To       uint64
	Prefix   int
	Suffix   int
	Middle   []byte
}

// Packet carries a value to a peer: whole, or as splices onto what the peer has.
type Packet struct {
	//lint:ignore U1000 read by msgpack
	_msgpack struct{} `msgpack:",as_array"`
	Version  uint64
	// Sum is the xxhash of the whole value, which tells a splice onto other bytes than it was made for.
	Sum     uint64
	Whole   []byte
	Splices []Splice
}

// ErrSplice means that a packet doesn't fit the value it was applied to; the whole value is needed.
var ErrSplice = errors.New("spread: splices don't fit the value at hand")

// ErrNothingNewer means that the peer had no version above the one at hand.
var ErrNothingNewer = errors.New("spread: nothing newer")

const (
	// splicesKept covers a burst of changes between two exchanges of a peer.
	splicesKept = 8
	// spliceBytes bounds the memory that the changes of one list take.
	spliceBytes = 128 << 10
	// spliceShare is the part of a value up to which splices go before the whole.
	spliceShare = 2
)

// Archive keeps the values in force and the last changes that led to them.
//
// A change to one organisation or one host alters a few hundred bytes of a value of up to a
// megabyte. Sent whole at 2,800 changes a day, a host list of 3,400 entries
// alone would take several times the 4 KB/s that a daemon may spend.
type Archive struct {
	values  [lists.Kinds]lists.Value
	splices [lists.Kinds][]Splice
}

// Store takes over a value that came in force.
func (a *Archive) Store(v lists.Value) {
	before := a.values[v.Kind]
	a.values[v.Kind] = v
	if before.Version == 0 {
		return
	}
	kept := append(a.splices[v.Kind], splice(before, v))
	for len(kept) > splicesKept || weigh(kept) > spliceBytes {
		kept = kept[1:]
	}
	a.splices[v.Kind] = kept
}

func weigh(splices []Splice) int {
	weight := 0
	for _, s := range splices {
		weight += len(s.Middle)
	}
	return weight
}

func splice(before, after lists.Value) Splice {
	prefix, suffix := lists.CommonPrefixSuffix(before.Raw, after.Raw)
	middle := bytes.Clone(after.Raw[prefix : len(after.Raw)-suffix])
	return Splice{From: before.Version, To: after.Version, Prefix: prefix, Suffix: suffix, Middle: middle}
}

// Packet returns the value in force for a peer that has the given version; version 0 in it means none.
func (a *Archive) Packet(f Fetch) Packet {
	v := a.values[f.Kind]
	if v.Version <= f.Have {
		return Packet{}
	}
	p := Packet{Version: v.Version, Sum: xxhash.Sum64(v.Raw)}
	if p.Splices = a.since(f); p.Splices == nil {
		p.Whole = v.Raw
	}
	return p
}

// since returns the splices from the peer's version to the one in force, nil where they are missing or heavy.
func (a *Archive) since(f Fetch) []Splice {
	kept := a.splices[f.Kind]
	bound := len(a.values[f.Kind].Raw) / spliceShare
	for i, s := range kept {
		if s.From != f.Have {
			continue
		}
		if weigh(kept[i:]) > bound {
			return nil
		}
		return kept[i:]
	}
	return nil
}

// Open returns the value that the packet carries for one who has the given
// value; the error is ErrSplice or ErrNothingNewer.
//
// A peer answers with nothing where it has been told of the value's version by
// the one who asks; the whole value would be the same megabyte again.
func (p *Packet) Open(have lists.Value) (lists.Value, error) {
	if p.Version <= have.Version {
		return lists.Value{}, errors.Wrapf(ErrNothingNewer, "version %d at version %d", p.Version, have.Version)
	}
	v := lists.Value{Kind: have.Kind, Version: p.Version, Raw: p.Whole}
	if p.Splices != nil {
		v.Raw = have.Raw
		at := have.Version
		for _, s := range p.Splices {
			if s.From != at || !s.fits(len(v.Raw)) {
				return lists.Value{}, errors.Wrapf(ErrSplice, "from version %d at version %d", s.From, at)
			}
			v.Raw = s.apply(v.Raw)
			at = s.To
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
