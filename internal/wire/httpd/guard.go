package httpd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// guard enforces the bounds between a connection and its parser. nbhttp delivers
// a request only when it is complete, so requests are refused here before that:
// by the announced length before the body is received, by the bytes of a chunked
// body as they arrive, by the size of a head and the time that it takes to arrive.
type guard struct {
	nbhttp.Processor
	server *Server
	parser *nbhttp.Parser
	conn   *nbio.Conn
	// counted is the connection for responses.
	counted net.Conn

	// parseMu guards the fields down to closeRequested.
	parseMu sync.Mutex
	closed  bool
	started bool
	inBody  bool
	chunked bool
	// lengthHeaders counts the headers that determine where the body ends.
	lengthHeaders   int
	expectsContinue bool
	discarding      bool
	// bodyRefused means that a body was refused which may still arrive, discarded that bytes of it were discarded since the last look.
	bodyRefused  bool
	discarded    bool
	headReceived int
	headSize     int
	// bodyHold is the memory for the request that arrives, and receiver receives its body in place of the parser, if not nil. rest has the bytes
	// behind a body that was received so, which are not parsed yet.
	bodyHold *bounded.Hold
	receiver *bodyReceiver
	rest     []byte
	timer    *time.Timer
	// completeHold is the memory for the complete request that is being delivered, next is its exchange, and
	// closeRequested says whether its caller asked to close the connection after it.
	completeHold   *bounded.Hold
	next           *exchange
	closeRequested bool

	pipeline pipeline
}

const (
	// minBodyRate is the minimum rate at which a body must arrive, in bytes per second.
	minBodyRate = 64 << 10
	// lingerTime is how long a connection stays open after a refusal and the last bytes that arrive. If it were closed at once, data that the
	// caller is still sending would cause a reset, and the caller would lose the refusal. maxLingerTime bounds it for a caller that goes on sending.
	lingerTime    = 500 * time.Millisecond
	maxLingerTime = 10 * time.Second
	// headerLineOverhead is the length of a header line without its name and value, in bytes.
	headerLineOverhead = len(": \r\n")
)

// newGuard installs a guard between the connection and its parser.
func newGuard(s *Server, c *nbio.Conn, p *nbhttp.Parser) *guard {
	g := &guard{Processor: p.Processor, server: s, parser: p, conn: c}
	g.pipeline.spawn, g.pipeline.idleSince = s.workers.Go, time.Now()
	g.pipeline.sent, g.pipeline.gone, g.pipeline.unsentOfAll = make(chan struct{}, 1), make(chan struct{}), &s.unsent
	g.counted = &countingConn{Conn: p.Conn, pipeline: &g.pipeline}
	p.Processor, p.Execute, p.Conn = g, g.enqueue, g.counted
	return g
}

// parse handles the next bytes of the connection; a fault is answered, and the data after it is discarded.
func (g *guard) parse(data []byte) {
	g.parseMu.Lock()
	defer g.parseMu.Unlock()
	for len(data) > 0 && !g.discarding && !g.closed {
		data = g.parseNext(data)
	}
	g.discarded = g.bodyRefused
}

// parseNext handles the next bytes, and returns those behind a body that ended among them.
func (g *guard) parseNext(data []byte) (rest []byte) {
	g.startHead()
	if !g.inBody {
		g.headReceived += len(data)
	}
	g.rest = nil
	err := g.parser.Parse(data)
	switch {
	case g.discarding, errors.Is(err, net.ErrClosed):
	case errors.Is(err, nbhttp.ErrTooLong):
		g.refuse(BodyTooLarge)
	case err != nil:
		g.refuse(Malformed)
	case g.started && !g.inBody && g.headReceived > g.server.bounds.Load().HeadBytes:
		g.refuse(HeadTooLarge)
	}
	return g.rest
}

// startHead starts the timeout of a head at its first byte. Without it, callers that send a byte
// now and then could use up all connections.
func (g *guard) startHead() {
	if g.started {
		return
	}
	g.started = true
	if g.pending() == 0 {
		g.closeAfter(g.server.bounds.Load().HeadTime)
	}
}

// closeAfter closes the connection after d unless the timer is reset or stopped. The
// connection's own read deadline can't be used: nbhttp sets it after it has added a
// new connection, which can be after the first bytes were handled.
func (g *guard) closeAfter(d time.Duration) {
	if g.timer == nil {
		g.timer = time.AfterFunc(d, func() { _ = loops.Close(g.conn) })
		return
	}
	g.timer.Reset(d)
}

func (g *guard) stopTimer() {
	if g.timer != nil {
		g.timer.Stop()
	}
}

// OnHeader counts the size of the head and records the headers that describe the body.
func (g *guard) OnHeader(p *nbhttp.Parser, key, value string) {
	g.headSize += len(key) + len(value) + headerLineOverhead
	switch key {
	case "Transfer-Encoding":
		g.chunked = true
		g.lengthHeaders++
	case "Content-Length":
		g.lengthHeaders++
	case "Expect":
		g.expectsContinue = strings.EqualFold(value, "100-continue")
	}
	g.Processor.OnHeader(p, key, value)
}

// OnContentLength is called at the end of the head: the body is admitted or refused before it is received.
//
// A head with more than one header that determines the body's length is refused, against request smuggling: a proxy in
// front of this server may use the other header, and the end of what it takes for the body would be run here as a request.
func (g *guard) OnContentLength(p *nbhttp.Parser, length int) {
	g.Processor.OnContentLength(p, length)
	g.inBody = true
	switch {
	case g.lengthHeaders > 1:
		g.refuse(Malformed)
	case g.headSize > g.server.bounds.Load().HeadBytes:
		g.refuse(HeadTooLarge)
	case length > g.server.bounds.Load().BodyBytes:
		g.refuse(BodyTooLarge)
	case !g.hold(max(length, 0)):
		g.refuse(Full)
	default:
		g.awaitBody(length)
		if g.chunked || length >= minReceivedBody {
			g.receiveBody(p, length)
		}
	}
}

// hold takes the memory for the request that arrives: for its body, and for the head of one that may wait behind others of its connection.
func (g *guard) hold(bytes int) bool {
	if g.pending() > 0 {
		bytes += g.headSize
	}
	hold, ok := g.server.account.TryTake(bounded.CallerRequest, int64(bytes))
	g.bodyHold = hold
	return ok
}

// releaseBody releases the memory of a request that won't be delivered.
func (g *guard) releaseBody() {
	g.bodyHold.Release()
	g.bodyHold, g.receiver = nil, nil
}

// awaitBody sets the timeout of a body, and sends "100 Continue" if the caller expects it.
func (g *guard) awaitBody(length int) {
	if g.pending() > 0 || (length <= 0 && !g.chunked) {
		return
	}
	maxLength := length
	if g.chunked {
		maxLength = g.server.bounds.Load().BodyBytes
	}
	g.closeAfter(g.server.bounds.Load().HeadTime + time.Duration(maxLength/minBodyRate)*time.Second)
	if g.expectsContinue {
		_, _ = g.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// OnBody discards the body of a refused request.
func (g *guard) OnBody(p *nbhttp.Parser, data []byte) error {
	if g.discarding {
		return nil
	}
	return g.Processor.OnBody(p, data)
}

// OnComplete delivers a complete request together with the bytes that are reserved for it.
func (g *guard) OnComplete(p *nbhttp.Parser) {
	if g.discarding {
		return
	}
	g.completeHold, g.bodyHold = g.bodyHold, nil
	g.headReceived, g.headSize, g.lengthHeaders = 0, 0, 0
	g.started, g.inBody, g.chunked, g.expectsContinue = false, false, false, false
	g.stopTimer()
	g.Processor.OnComplete(p)
	if g.closeRequested {
		g.discarding = true
	}
}

// announce creates the exchange of the request that is being delivered. The request's context holds it: nbhttp's response
// can't identify it, since the object is used again while its last exchange is still pending.
func (g *guard) announce(r *http.Request) {
	g.next, g.closeRequested = newExchange(g), r.Close
	*r = *r.WithContext(g.next.ctx)
	if g.receiver != nil {
		raw := g.receiver.raw
		r.Body, r.ContentLength = &Body{bytes.NewReader(raw), raw}, int64(len(raw))
	}
}

// enqueue adds a complete request to the pipeline; the parser calls it with the work that handles the request.
func (g *guard) enqueue(work func()) bool {
	hold, exch := g.completeHold, g.next
	// A running request has its own deadline; the connection's read deadline must not end it.
	_ = g.conn.SetReadDeadline(time.Time{})
	if g.pipeline.len() >= maxPending {
		exch.cancel(ErrAnswered)
		hold.Release()
		g.refuse(Full)
		return false
	}
	exch.work = func() {
		work()
		hold.Release()
	}
	if !g.pipeline.enqueue(exch) {
		hold.Release()
		return false
	}
	return true
}

// stopReading discards all further data from the caller, who may assume that requests in it were not read.
func (g *guard) stopReading() {
	g.parseMu.Lock()
	defer g.parseMu.Unlock()
	if g.discarding {
		return
	}
	g.discarding = true
	g.releaseBody()
	g.stopTimer()
}

func (g *guard) pending() int { return g.pipeline.len() }

// closeIfIdle closes a connection that has had no complete or partial request for minIdle.
//
// The caller may send its next request at the same moment. If the connection were
// just closed, it couldn't know whether that request ran, so a response states that
// no further request is run. 408 is the only response that HTTP allows a server to send
// without a request: a caller without a request under way just drops the connection.
func (g *guard) closeIfIdle(now time.Time, minIdle time.Duration) {
	g.parseMu.Lock()
	defer g.parseMu.Unlock()
	idleSince, isIdle := g.pipeline.idle()
	if !isIdle || g.started || g.discarding || now.Sub(idleSince) < minIdle {
		return
	}
	g.refuse(Closing)
}

// refuse sends the refusal after the responses to the earlier requests of the connection, and closes the connection after
// lingerTime. The rest of the data at hand is still parsed, but must not be answered.
func (g *guard) refuse(f Fault) {
	if g.discarding {
		return
	}
	g.discarding, g.bodyRefused = true, f == Full || f == BodyTooLarge
	g.releaseBody()
	raw := g.server.refusal(f)
	g.stopTimer()
	exch := newExchange(nil)
	exch.writeRefusal = func() {
		_, _ = g.conn.Write(raw)
		g.linger(time.Now())
	}
	g.pipeline.enqueue(exch)
}

// linger closes the connection when no more bytes arrive.
func (g *guard) linger(since time.Time) {
	time.AfterFunc(lingerTime, func() {
		g.parseMu.Lock()
		arriving := g.discarded && time.Since(since) < maxLingerTime
		g.discarded = false
		g.parseMu.Unlock()
		if arriving {
			g.linger(since)
			return
		}
		_ = loops.Close(g.conn)
	})
}

// close cancels the connection's requests and releases the bytes reserved for an incomplete one.
func (g *guard) close() {
	g.parseMu.Lock()
	g.closed = true
	g.stopTimer()
	g.releaseBody()
	g.parseMu.Unlock()
	g.pipeline.close()
}

// refusal returns the complete HTTP response for a fault.
func (s *Server) refusal(f Fault) []byte {
	status, header, body := s.refuser(f)
	header.Set("Connection", "close")
	header.Set("Content-Length", fmt.Sprint(len(body)))
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}
