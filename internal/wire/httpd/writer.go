package httpd

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/loops"
)

// wrap returns a handler that writes its response in the order of the requests, with a context that is cancelled when the caller disconnects.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// From here on nbhttp writes nothing of its own.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		e, ok := exchangeOf(r.Context())
		if !ok {
			_ = conn.Close()
			return
		}
		res := newResponseWriter(e, r)
		defer crashOnPanic()
		// The handler gets a copy: nbhttp clears its own and uses it again.
		next.ServeHTTP(res, r.WithContext(e.ctx))
		res.finish()
	})
}

// guardOf returns the guard of the connection of an nbhttp response writer, or false.
func guardOf(w http.ResponseWriter) (*guard, bool) {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil, false
	}
	g, ok := res.Parser.Processor.(*guard)
	return g, ok
}

// crashOnPanic ends the process when a handler has panicked.
//
// nbio recovers from panics silently: the caller would wait for a response that
// is never written, and the process would continue with a broken state.
func crashOnPanic() {
	if value := recover(); value != nil {
		stack := debug.Stack()
		go panic(fmt.Sprintf("http: handler: %v\n%s", value, stack))
		select {}
	}
}

// maxBuffered is how many bytes of a response are gathered for one write; larger parts of a body are not copied.
const maxBuffered = 16 << 10

// responseWriter writes one request's response after the earlier ones of its connection. It tells the caller if the connection
// is closed after it, and closes the connection when the response has had time to be sent.
//
// It writes head and body itself: nbhttp writes 200 in place of a status without a reason phrase and for a handler that wrote
// nothing, and doesn't hold a body to its length. Here a response that no handler decided on is a failure.
type responseWriter struct {
	guard          *guard
	exchange       *exchange
	method         string
	proto          string
	closeRequested bool
	closesConn     bool
	header         http.Header
	// status is 0 until it is decided; failed means that the handler decided on none that can be written.
	status int
	failed bool
	ended  bool
	// hasType says that the handler set a Content-Type.
	hasType bool
	// stated is the length of the body that the handler stated, or noLength: then the body is kept until its end.
	stated  int64
	written int64
	// exceeded means that a part went over the length: a later one that fits would leave a gap in the body.
	exceeded bool
	body     []byte
	// out is what has not been sent yet, sent how much has.
	out  bytes.Buffer
	sent int
	// deadline is until when the caller may read the response.
	deadline time.Time
}

// errInvalidStatus means that a handler decided on a status that a response can't have.
var errInvalidStatus = errors.New("http: status not within 200 to 999")

func newResponseWriter(e *exchange, r *http.Request) *responseWriter {
	w := &responseWriter{
		guard: e.guard, exchange: e, method: r.Method, proto: "HTTP/1.0", closeRequested: r.Close,
		header: http.Header{}, stated: noLength, deadline: time.Now().Add(keepAliveTime),
	}
	if r.ProtoAtLeast(1, 1) {
		w.proto = "HTTP/1.1"
	}
	return w
}

// SetWriteDeadline sets until when the caller may read a large response, as http.ResponseController does: what is left of it then takes memory that
// others wait for, so the connection is closed.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// Header returns the headers that WriteHeader writes.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader decides on the status and the headers, once the earlier responses are written.
func (w *responseWriter) WriteHeader(status int) {
	switch {
	case w.status != 0 || w.ended:
	case status < minFinalStatus || status > maxFinalStatus:
		w.fail()
	default:
		w.decide(status)
	}
}

// fail decides on a failure without the handler's headers.
func (w *responseWriter) fail() {
	w.failed = true
	w.header = http.Header{}
	w.decide(http.StatusInternalServerError)
}

func (w *responseWriter) decide(status int) {
	w.status = status
	<-w.exchange.turn
	w.closesConn = w.endsConn()
	w.stated = statedLength(w.header)
	w.hasType = len(w.header["Content-Type"]) > 0
	writeHead(&w.out, w.proto, status, w.header)
	if w.stated != noLength {
		w.endHead(w.stated)
	}
}

// endsConn reports whether the connection is closed after this response. If it is to close, no more requests are read,
// and it closes only after the last of those that were received.
func (w *responseWriter) endsConn() bool {
	if !w.closeRequested && !w.guard.server.closing() {
		return false
	}
	w.guard.stopReading()
	return w.guard.pipeline.isLast(w.exchange)
}

// endHead ends the head of a response whose body has the given length.
func (w *responseWriter) endHead(length int64) {
	if w.closesConn {
		w.out.WriteString("Connection: close\r\n")
	}
	if length > 0 && hasBody(w.status) && !w.hasType {
		w.out.WriteString("Content-Type: text/plain; charset=utf-8\r\n")
	}
	if length != noLength && w.status != http.StatusNoContent {
		fmt.Fprintf(&w.out, "Content-Length: %d\r\n", length)
	}
	w.out.WriteString("\r\n")
}

// Write writes a part of the body; it decides on status 200 first if none is decided.
func (w *responseWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.WriteHeader(http.StatusOK)
	switch {
	case w.ended:
		return 0, http.ErrHandlerTimeout
	case w.failed:
		return 0, errInvalidStatus
	case !hasBody(w.status):
		return 0, http.ErrBodyNotAllowed
	case w.exceeds(len(p)):
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	switch {
	case w.method == http.MethodHead:
	case w.stated == noLength:
		w.body = append(w.body, p...)
	default:
		if err := w.add(p); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// exceeds reports whether n more bytes, or earlier ones, go over the stated length.
func (w *responseWriter) exceeds(n int) bool {
	if w.stated != noLength && int64(n) > w.stated-w.written {
		w.exceeded = true
	}
	return w.exceeded
}

// add sends the bytes, or gathers them with what was not sent yet.
func (w *responseWriter) add(p []byte) error {
	if w.out.Len()+len(p) <= maxBuffered {
		w.out.Write(p)
		return nil
	}
	if err := w.flush(); err != nil {
		return err
	}
	return w.send(p)
}

func (w *responseWriter) flush() error {
	if w.out.Len() == 0 {
		return nil
	}
	defer w.out.Reset()
	return w.send(w.out.Bytes())
}

// send writes to the connection, and closes it if that fails, since the rest of the response has no place on it any more.
func (w *responseWriter) send(p []byte) error {
	w.sent += len(p)
	for len(p) > 0 {
		part := p[:min(maxWrite, len(p))]
		p = p[len(part):]
		if err := w.sendPart(part); err != nil {
			_ = loops.Close(w.guard.conn)
			return errors.Wrap(err, "http: write response")
		}
	}
	return nil
}

// sendPart queues a part when the connection has sent most of those before it: the queue copies what it holds.
func (w *responseWriter) sendPart(p []byte) error {
	if !w.guard.pipeline.awaitSent(w.deadline) {
		return errNotRead
	}
	_, err := w.guard.counted.Write(p)
	return err
}

// errNotRead means that the caller has disconnected, or has not read the response in time.
var errNotRead = errors.New("response not read")

// finish completes the response. That of a handler that wrote nothing is a failure, and one that is shorter than its handler
// stated is cut off. If the connection is to be closed, it does so after a delay: closed at once, the response would be lost
// from the send queue.
func (w *responseWriter) finish() {
	if w.status == 0 {
		w.fail()
	}
	w.ended = true
	if w.isShort() {
		_ = loops.Close(w.guard.conn)
		return
	}
	if err := w.writeRest(); err != nil {
		return
	}
	_ = w.guard.counted.SetReadDeadline(time.Now().Add(keepAliveTime))
	if w.closesConn {
		time.AfterFunc(lingerTime+time.Duration(w.sent/minBodyRate)*time.Second, func() { _ = loops.Close(w.guard.conn) })
	}
}

// isShort reports whether the body is shorter than the length that the handler stated.
func (w *responseWriter) isShort() bool {
	return w.method != http.MethodHead && hasBody(w.status) && w.written < w.stated
}

// writeRest sends what is not sent yet.
func (w *responseWriter) writeRest() error {
	if w.stated == noLength {
		w.endHead(w.keptLength())
		if err := w.add(w.body); err != nil {
			return err
		}
	}
	return w.flush()
}

// keptLength returns the length of a body for which the handler stated none. It is unknown without a body that tells it.
func (w *responseWriter) keptLength() int64 {
	bodiless := w.method == http.MethodHead || !hasBody(w.status)
	if bodiless && w.written == 0 {
		return noLength
	}
	return w.written
}
