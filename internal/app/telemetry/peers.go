package telemetry

import "github.com/foxtailhook/foxtailhook/internal/wire/peer"

// PeerBytes reports the traffic between daemons by message and place; the zero value has reported nothing.
type PeerBytes struct{ reported peer.Traffic }

// Report adds the traffic since the last report to the metrics. Messages that were never exchanged with a place are not reported for it.
func (p *PeerBytes) Report(scope Scope, traffic peer.Traffic) {
	for kind := 1; kind < peer.Kinds; kind++ {
		for place := range peer.Places {
			p.reportOne(scope, peer.Kind(kind), peer.Place(place), &traffic)
		}
	}
	p.reported = traffic
}

func (p *PeerBytes) reportOne(scope Scope, kind peer.Kind, place peer.Place, traffic *peer.Traffic) {
	now, last := traffic.ByPlace[kind][place], p.reported.ByPlace[kind][place]
	if now == last {
		return
	}
	tagged := scope.Tagged(map[string]string{"message": kind.String(), "place": place.String()})
	tagged.Counter(PeerBytesSent).Inc(int64(now.Sent - last.Sent))
	tagged.Counter(PeerBytesReceived).Inc(int64(now.Received - last.Received))
}
