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

// countSent counts what went out, each frame of it by its kind.
func (n *Node) countSent(data []byte) {
	n.sent.Add(uint64(len(data)))
	for len(data) > 0 {
		kind, size := Kind(0), len(data)
		if len(data) >= lengthSize+headerSize {
			if frame := lengthSize + int(binary.BigEndian.Uint32(data)); frame <= len(data) {
				kind, size = Kind(data[lengthSize+1]), frame
			}
		}
		n.counts[kindIndex(kind)].sent.Add(uint64(size))
		data = data[size:]
	}
}

// kindIndex returns the kind's place in the counts; a peer of another release may know kinds that this one doesn't.
func kindIndex(k Kind) int {
	if int(k) < Kinds {
		return int(k)
	}
	return 0
}
