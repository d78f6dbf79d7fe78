package peer

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// encode uses compact integers: by default each takes nine bytes, which would be most of a message that is sent many times a second. By
// position, whole numbers of floating-point types are compact too.
func encode(value any, form encodingForm) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buf bytes.Buffer
	buf.Grow(usualPayload)
	encoder.Reset(&buf)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(form == byPosition)
	encoder.UseCompactFloats(form == byPosition)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.WithStack(err)
	}
	return buf.Bytes(), nil
}

// usualPayload is the size in bytes that the payload of most messages has.
const usualPayload = 768

// Handle sets the function that responds to messages of one kind; it must be called before Start.
func Handle[Req, Resp any](n *Node, kind Kind, respond func(ctx context.Context, from netip.AddrPort, req Req) Resp) {
	if n.announced != nil {
		n.announced[kind] = layouts{Request: layoutOf[Req](), Response: layoutOf[Resp]()}
	}
	n.handlers[kind] = func(ctx context.Context, l *link, f frame) (frame, error) {
		req, err := decodeMessage[Req](l, &f)
		if err != nil {
			return frame{}, errors.Wrapf(err, "peer: unreadable %s", kind)
		}
		defer f.hold.Release()
		age(&req, transferTime(ctx))
		response, err := encodeMessage(l, respond(ctx, l.remote, req), encodingFor[Resp](l.remoteLayouts(kind).Response))
		return response, errors.Wrapf(err, "peer: encode response to %s", kind)
	}
}

// Call sends a request and waits for its response; the error is ErrNotSent, ErrLost, or the context's when it ended first.
func Call[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	return exchange[Req, Resp](ctx, n, to, kind, req, false)
}

// CallUnlessSilent is like Call but also ends, with ErrLost, when probes find the link silent. It is for requests that
// may be retried. Others should wait for their response, since the host may only be suspended.
func CallUnlessSilent[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	return exchange[Req, Resp](ctx, n, to, kind, req, true)
}

func exchange[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req, unlessSilent bool) (Resp, error) {
	var resp Resp
	began := time.Now()
	l, request, response, err := n.registerCall(ctx, to, kind, func(l *link) (frame, error) {
		if isLarge(&req) {
			l.awaitAnnouncement(ctx)
		}
		sent := req
		age(&sent, time.Since(began))
		return encodeFor(l, kind, sent)
	})
	if err != nil {
		return resp, err
	}
	id := request.id
	position, err := l.send(request)
	if err != nil {
		l.removeCall(id, response)
		return resp, notSent(to, err)
	}
	silent := l.silent
	if !unlessSilent {
		silent = nil
	}
	if err := l.awaitGrant(ctx, position, silent); err != nil {
		l.removeCall(id, response)
		return resp, errors.Wrapf(err, "%d bytes to %s", position.outgoing.size, to)
	}
	select {
	case <-silent:
		l.removeCall(id, response)
		l.abandon(request, position)
		return resp, errors.Wrapf(ErrLost, "%s does not respond to probes", to)
	case received, ok := <-response:
		if !ok && l.notSentWhole(position) {
			return resp, errors.Wrapf(ErrNotSent, "connection to %s closed before the whole request was sent", to)
		}
		if !ok {
			return resp, errors.Wrapf(ErrLost, "connection to %s closed before the response arrived", to)
		}
		resp, err = decodeMessage[Resp](l, &received)
		return resp, errors.Wrapf(err, "peer: unreadable response to %s", kind)
	case <-ctx.Done():
		l.removeCall(id, response)
		l.abandon(request, position)
		if l.isUnresponsive(time.Now()) {
			n.drainLink(l)
		}
		return resp, ctx.Err()
	}
}

// registerCall encodes a request for the link to a peer and registers the call there. It dials again if that link has just been closed, since
// no byte of the call has been sent yet. It does so any number of times for links that this node retired, but only once for a link that
// failed.
//
// The request is encoded first: from its registration on, the link counts as unresponsive if nothing is received for a while, and a large
// request takes long to encode on a busy host.
func (n *Node) registerCall(ctx context.Context, to netip.AddrPort, kind Kind, encodeFor func(*link) (frame, error)) (*link, frame, chan frame, error) {
	for lostLinks := 0; lostLinks < 2; {
		l, err := n.dial(ctx, to, kind)
		if err != nil {
			return nil, frame{}, nil, err
		}
		request, err := encodeFor(l)
		if err != nil {
			return nil, frame{}, nil, err
		}
		if headerSize+request.size() > n.maxFrame {
			return nil, frame{}, nil, errors.Wrapf(ErrNotSent, "%s of %d bytes exceeds the maximum frame size", kind, request.size())
		}
		if id, response, ok := l.addCall(); ok {
			request.form, request.id = formRequest, id
			return l, request, response, nil
		}
		if !l.wasRetired() {
			lostLinks++
		}
	}
	return nil, frame{}, nil, errors.Wrapf(ErrNotSent, "connection to %s closed twice before the request was sent", to)
}

// Send sends a message that has no response; an error means that it may not have arrived.
func Send[Msg any](n *Node, to netip.AddrPort, kind Kind, msg Msg) error {
	l, err := n.dial(context.Background(), to, kind)
	if err != nil {
		return err
	}
	oneWay, err := encodeFor(l, kind, msg)
	if err != nil {
		return err
	}
	oneWay.form = formOneWay
	_, err = l.send(oneWay)
	return errors.Wrapf(err, "peer: write to %s", to)
}

// isLarge reports whether a message has a body that is sent in pieces.
func isLarge[M any](msg *M) bool {
	bulky, ok := any(msg).(Bulky)
	if !ok {
		return false
	}
	body, _ := bulky.Bulk()
	return len(*body) > pieceSize
}

// awaitGrant waits until an offered request is granted or its link is closed. The error is an ErrNotSent: the request is withdrawn.
func (l *link) awaitGrant(ctx context.Context, position sendPosition, silent <-chan struct{}) error {
	o := position.outgoing
	if o == nil || !o.offered {
		return nil
	}
	reason := ErrNoRoom
	timer := time.NewTimer(roomWait(ctx))
	defer timer.Stop()
	select {
	case <-o.granted:
		return nil
	case <-l.closed:
		return nil
	case <-o.refused:
		return ErrNoRoom
	case <-silent:
		reason = errors.WithMessage(ErrNotSent, "peer: no response to probes")
	case <-timer.C:
	case <-ctx.Done():
	}
	if l.withdrawOffer(o) {
		return reason
	}
	return nil
}

// notSent returns the error of a request that could not be sent.
func notSent(to netip.AddrPort, err error) error {
	if errors.Is(err, ErrNotSent) {
		return err
	}
	return errors.Wrapf(ErrNotSent, "write to %s: %v", to, err)
}
