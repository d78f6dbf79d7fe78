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

func (b *Bytes) add(more Bytes) {
	b.Sent += more.Sent
	b.Received += more.Received
}

// Traffic counts the bytes of all connections, and those of whole frames by kind, also by the place of the other node; kind 0 counts
// handshakes and unknown kinds.
type Traffic struct {
	Bytes
	ByKind  [Kinds]Bytes
	ByPlace [Kinds][Places]Bytes
}

type byteCounter struct {
	sent, received atomic.Uint64
}

func (c *byteCounter) load() Bytes {
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// countSent counts sent bytes, each whole frame in them by its kind.
func (l *link) countSent(data []byte) {
	n, place := l.node, l.placeOfRemote()
	n.bytesSent.Add(uint64(len(data)))
	for len(data) > 0 {
		kind, size := Kind(0), len(data)
		if len(data) >= lengthSize+headerSize {
			if frame := lengthSize + int(binary.BigEndian.Uint32(data)); frame <= len(data) {
				kind, size = Kind(data[lengthSize+1]), frame
			}
		}
		n.bytesByKind[kindIndex(kind)][place].sent.Add(uint64(size))
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
