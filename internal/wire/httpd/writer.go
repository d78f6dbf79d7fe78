package httpd

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// wrap returns a handler that writes its response in the order of the requests, with a context that is cancelled when the caller disconnects.
func (s *Server) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e, ok := exchangeOf(r.Context())
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		res := &responseWriter{ResponseWriter: w, guard: e.guard, exchange: e, closeRequested: r.Close}
		// nbhttp would close the connection while the response is still in its send queue.
		r.Close = false
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

// responseWriter writes one request's response after the earlier ones of its connection. It tells the caller if the connection
// is closed after it, and closes the connection when the response has had time to be sent.
//
// It hides ReadFrom of nbhttp's response: called by io.Copy with anything but a file, that sends the head without the body's
// length, and the caller sees an empty response.
type responseWriter struct {
	http.ResponseWriter
	guard          *guard
	exchange       *exchange
	closeRequested bool
	closesConn     bool
	headerWritten  bool
	bodySize       int
}

// Unwrap returns the wrapped writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader waits until the earlier responses are written, and adds the Connection header.
func (w *responseWriter) WriteHeader(status int) {
	if w.headerWritten {
		return
	}
	w.headerWritten = true
	<-w.exchange.turn
	w.closesConn = w.endsConn()
	if w.closesConn {
		w.Header().Set("Connection", "close")
		w.bodySize, _ = strconv.Atoi(w.Header().Get("Content-Length"))
	}
	w.ResponseWriter.WriteHeader(status)
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

// Write writes a part of the body; it writes the header with status 200 first if none was written.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// finish completes the response, also that of a handler that wrote nothing. If the connection is to be closed, it does so
// after a delay: closed at once, the response would be lost from the send queue.
func (w *responseWriter) finish() {
	w.WriteHeader(http.StatusOK)
	if w.closesConn {
		time.AfterFunc(lingerTime+time.Duration(w.bodySize/minBodyRate)*time.Second, func() { _ = w.guard.conn.Close() })
	}
}
