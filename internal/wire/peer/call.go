package peer

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// encode writes integers as short as they are: by default each takes nine bytes, which
// would be most of a message that is sent many times a second.
func encode(value any) ([]byte, error) {
	out := msgpack.GetEncoder()
	defer msgpack.PutEncoder(out)
	var buf bytes.Buffer
	out.Reset(&buf)
	out.UseCompactInts(true)
	if err := out.Encode(value); err != nil {
		return nil, errors.WithStack(err)
	}
	return buf.Bytes(), nil
}

// Handle sets the function that answers messages of one kind; it is called before Start.
func Handle[Req, Resp any](n *Node, kind Kind, answer func(ctx context.Context, from netip.AddrPort, req Req) Resp) {
	n.handlers[kind] = func(ctx context.Context, from netip.AddrPort, payload []byte) ([]byte, error) {
		var req Req
		if err := msgpack.Unmarshal(payload, &req); err != nil {
			return nil, errors.Wrapf(err, "peer: unreadable %s", kind)
		}
		out, err := encode(answer(ctx, from, req))
		return out, errors.Wrapf(err, "peer: encode answer to %s", kind)
	}
}

// Call sends a request and waits for its answer; the error is ErrNotSent, ErrLost, or the context's when it ended first.
func Call[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	return exchange[Req, Resp](ctx, n, to, kind, req, false)
}

// CallUnlessSilent is Call that also ends, with ErrLost, when the link is given up as silent. It is for what may be sent again: the
// answer of what may not is worth the wait, since its host may only be suspended.
func CallUnlessSilent[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req) (Resp, error) {
	return exchange[Req, Resp](ctx, n, to, kind, req, true)
}

func exchange[Req, Resp any](ctx context.Context, n *Node, to netip.AddrPort, kind Kind, req Req, unlessSilent bool) (Resp, error) {
	var resp Resp
	payload, err := encode(req)
	if err != nil {
		return resp, errors.Wrapf(ErrNotSent, "encode %s: %v", kind, err)
	}
	if headerSize+len(payload) > n.maxFrame {
		return resp, errors.Wrapf(ErrNotSent, "%s of %d bytes is over the frame bound", kind, len(payload))
	}
	l, id, answer, err := n.begin(ctx, to, kind)
	if err != nil {
		return resp, err
	}
	request := frame{form: formRequest, kind: kind, id: id, payload: payload}
	left, err := l.send(request)
	if err != nil {
		l.forget(id)
		return resp, errors.Wrapf(ErrNotSent, "write to %s: %v", to, err)
	}
	silenced := l.silenced
	if !unlessSilent {
		silenced = nil
	}
	select {
	case <-silenced:
		l.forget(id)
		l.abandon(request, left)
		return resp, errors.Wrapf(ErrLost, "%s is silent", to)
	case f, ok := <-answer:
		if !ok && l.cutOff(left) {
			return resp, errors.Wrapf(ErrNotSent, "connection to %s closed before the whole request left", to)
		}
		if !ok {
			return resp, errors.Wrapf(ErrLost, "connection to %s closed", to)
		}
		return resp, errors.Wrapf(msgpack.Unmarshal(f.payload, &resp), "peer: unreadable answer to %s", kind)
	case <-ctx.Done():
		l.forget(id)
		l.abandon(request, left)
		if l.silent(time.Now()) {
			n.replace(l)
		}
		return resp, ctx.Err()
	}
}

// begin registers a call on the link to a peer. A link that was closed just now is replaced, since no
// byte of the call has left: one that this node closed as idle or to make room as often as that happens, and one
// that was lost once.
func (n *Node) begin(ctx context.Context, to netip.AddrPort, kind Kind) (*link, uint64, chan frame, error) {
	for lost := 0; lost < 2; {
		l, err := n.dial(ctx, to, kind)
		if err != nil {
			return nil, 0, nil, err
		}
		if id, answer, ok := l.expect(); ok {
			return l, id, answer, nil
		}
		if !l.wasRetired() {
			lost++
		}
	}
	return nil, 0, nil, errors.Wrapf(ErrNotSent, "connection to %s closed", to)
}

// Send sends a message that has no answer; an error means it may not have arrived.
func Send[Msg any](n *Node, to netip.AddrPort, kind Kind, msg Msg) error {
	payload, err := encode(msg)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "encode %s: %v", kind, err)
	}
	l, err := n.dial(context.Background(), to, kind)
	if err != nil {
		return err
	}
	out := frame{form: formOneWay, kind: kind, payload: payload}
	_, err = l.send(out)
	return errors.Wrapf(err, "peer: write to %s", to)
}
