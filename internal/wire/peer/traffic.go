package peer

import (
	"encoding/binary"
	"sync/atomic"
)

// Bytes counts bytes sent and received between daemons, without TCP and IP overhead.
type Bytes struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

// Traffic counts the bytes of all connections, and those of whole frames by kind; kind 0 counts handshakes and unknown kinds.
type Traffic struct {
	Bytes
	ByKind [Kinds]Bytes
}

type byteCounter struct {
	sent, received atomic.Uint64
}

// countSent counts sent bytes, each whole frame in them by its kind.
func (n *Node) countSent(data []byte) {
	n.bytesSent.Add(uint64(len(data)))
	for len(data) > 0 {
		kind, size := Kind(0), len(data)
		if len(data) >= lengthSize+headerSize {
			if frame := lengthSize + int(binary.BigEndian.Uint32(data)); frame <= len(data) {
				kind, size = Kind(data[lengthSize+1]), frame
			}
		}
		n.bytesByKind[kindIndex(kind)].sent.Add(uint64(size))
		data = data[size:]
	}
}

// kindIndex returns the kind's index in the counts, 0 for an unknown kind: a peer of another release may send kinds that this one doesn't know.
func kindIndex(k Kind) int {
	if int(k) < Kinds {
		return int(k)
	}
	return 0
}
