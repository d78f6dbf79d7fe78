package httpd

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// Body is the body of a request that was received into one piece of memory.
type Body struct {
	*bytes.Reader
	raw []byte
}

// Close implements io.Closer; there is nothing to release.
func (*Body) Close() error { return nil }

// ReadBody returns a request's whole body, without a copy of a large one.
func ReadBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	if body, ok := r.Body.(*Body); ok {
		return body.raw, nil
	}
	if r.ContentLength <= 0 {
		return io.ReadAll(r.Body)
	}
	raw := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, raw)
	return raw, err
}

// bodyReceiver takes the bytes of a connection in place of its parser while a body arrives that is large or in chunks. nbhttp would gather such a body
// in a buffer that grows, and then copy it.
type bodyReceiver struct {
	guard  *guard
	parser *nbhttp.Parser
	// begun means that the line end after the head, which the parser hasn't read, has been read.
	begun bool
	// raw has the received part of a body of known length; chunks, if not nil, reads one in chunks into pieces.
	raw      []byte
	chunks   *chunkReader
	pieces   [][]byte
	received int
}

var _ nbhttp.ParserCloser = (*bodyReceiver)(nil)

// minReceivedBody is the size in bytes from which a body of known length is received here. Smaller ones fit into the parser's buffers.
const minReceivedBody = 32 << 10

// receiveBody makes the parser pass on what follows the head.
func (g *guard) receiveBody(p *nbhttp.Parser, length int) {
	b := &bodyReceiver{guard: g, parser: p}
	if g.chunked {
		b.chunks = &chunkReader{maxTrailer: g.server.bounds.Load().HeadBytes}
	} else {
		b.raw = make([]byte, 0, length)
	}
	g.receiver = b
	p.ParserCloser = b
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (b *bodyReceiver) UnderlayerConn() net.Conn { return b.parser.Conn }

// CloseAndClean implements nbhttp.ParserCloser.
func (b *bodyReceiver) CloseAndClean(error) {}

// Parse takes the next bytes of the connection.
func (b *bodyReceiver) Parse(data []byte) error {
	if !b.begun {
		if data[0] != '\n' {
			return nbhttp.ErrLFExpected
		}
		b.begun, data = true, data[1:]
	}
	if b.guard.discarding {
		return nil
	}
	if b.chunks != nil {
		return b.parseChunks(data)
	}
	n := min(len(data), cap(b.raw)-len(b.raw))
	b.raw = append(b.raw, data[:n]...)
	if len(b.raw) == cap(b.raw) {
		b.complete(data[n:])
	}
	return nil
}

func (b *bodyReceiver) parseChunks(data []byte) error {
	rest, done, err := b.chunks.read(data, b.addChunk)
	switch {
	case err != nil && !errors.Is(err, errRefused):
		return err
	case err != nil || !done:
		return nil
	case b.join():
		b.complete(rest)
	}
	return nil
}

// errRefused means that the request was refused while its body arrived.
var errRefused = errors.New("http: request refused")

const (
	minPiece = 4 << 10
	maxPiece = 1 << 20
)

// addChunk copies a part of a body in chunks, into pieces for which memory is taken as they are needed.
func (b *bodyReceiver) addChunk(data []byte) error {
	g := b.guard
	if b.received+len(data) > g.server.bounds.Load().BodyBytes {
		g.refuse(BodyTooLarge)
		return errRefused
	}
	b.received += len(data)
	for len(data) > 0 {
		last := len(b.pieces) - 1
		if last < 0 || len(b.pieces[last]) == cap(b.pieces[last]) {
			size := minPiece
			if last >= 0 {
				size = min(2*cap(b.pieces[last]), maxPiece)
			}
			if !g.bodyHold.TryResize(g.bodyHold.Bytes() + int64(size)) {
				g.refuse(Full)
				return errRefused
			}
			b.pieces = append(b.pieces, make([]byte, 0, size))
			last++
		}
		n := min(len(data), cap(b.pieces[last])-len(b.pieces[last]))
		b.pieces[last] = append(b.pieces[last], data[:n]...)
		data = data[n:]
	}
	return nil
}

// join puts a body in chunks into one piece, if there is memory for the copy.
func (b *bodyReceiver) join() bool {
	g := b.guard
	copied, ok := g.server.account.TryTake(bounded.Joining, int64(b.received))
	if !ok {
		g.refuse(Full)
		return false
	}
	b.raw, b.pieces = bytes.Join(b.pieces, nil), nil
	copied.Release()
	return true
}

// complete delivers the request. A new parser reads what follows, since this one would wait for the body.
func (b *bodyReceiver) complete(rest []byte) {
	g, p := b.guard, b.parser
	g.rest = bytes.Clone(rest)
	g.parser = nbhttp.NewParser(p.Conn, p.Engine, g, false, g.enqueue)
	g.conn.SetSession(g.parser)
	g.OnComplete(p)
	// The connection refers to its first parser for as long as it is open, which must not keep the body.
	g.receiver, b.raw, p.ParserCloser = nil, nil, nil
}

// Clean keeps the request while its body is received here.
func (g *guard) Clean(p *nbhttp.Parser) {
	if g.receiver == nil {
		g.Processor.Clean(p)
	}
}
