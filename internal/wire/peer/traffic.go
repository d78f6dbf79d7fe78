package peer

import (
	"encoding/binary"
	"sync/atomic"
)

// Bytes counts bytes between daemons, without those of TCP and IP.
type Bytes struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Traffic is the bytes of all connections, and of whole frames by the kind of message; kind 0 has handshakes.
type Traffic struct {
	Bytes
	ByKind [Kinds]Bytes
}

type byteCount struct {
	sent, received atomic.Uint64
}

// countSent counts what went out, a frame by its kind.
func (n *Node) countSent(data []byte) {
	n.sent.Add(uint64(len(data)))
	kind := Kind(0)
	if len(data) >= lengthSize+headerSize && int(binary.BigEndian.Uint32(data)) == len(data)-lengthSize {
		kind = Kind(data[lengthSize+1])
	}
	n.counts[kindIndex(kind)].sent.Add(uint64(len(data)))
}

// kindIndex returns the kind's place in the counts; a peer of another release may know kinds that this one doesn't.
func kindIndex(k Kind) int {
	if int(k) < Kinds {
		return int(k)
	}
	return 0
}
