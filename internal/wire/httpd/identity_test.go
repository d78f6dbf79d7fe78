package httpd

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// reusePooledObjects makes nbhttp's next response object the one that was released last.
func reusePooledObjects(t *testing.T) {
	procs, percent := runtime.GOMAXPROCS(1), debug.SetGCPercent(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(procs)
		debug.SetGCPercent(percent)
	})
}

// holdEnds makes each request of the only connection wait for release after its response is written and its response
// object is back in the pool; released tells that it is.
func holdEnds(s *Server, release <-chan struct{}) (held *guard, released <-chan struct{}) {
	for s.connectionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	pooled := make(chan struct{}, maxPending)
	s.guards.Range(func(_, value any) bool {
		held = value.(*guard)
		return false
	})
	held.parseMu.Lock()
	defer held.parseMu.Unlock()
	held.parser.Execute = func(work func()) bool {
		return held.enqueue(func() {
			work()
			pooled <- struct{}{}
			<-release
		})
	}
	return held, pooled
}

// seen is what a handler finds when it starts.
type seen struct {
	ctx  context.Context
	turn <-chan struct{}
}

func TestNextRequestKeepsItsOwnExchange(t *testing.T) {
	// Guards against a request that takes over the context and the turn of the answered one before it: it ended as if its
	// caller had gone, or its response was sent in another request's place.
	reusePooledObjects(t)
	t.Run("context", keepsItsOwnContext)
	t.Run("turn", keepsItsOwnTurn)
}

func keepsItsOwnContext(t *testing.T) {
	second, answer := make(chan seen, 1), make(chan struct{})
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			second <- seen{ctx: r.Context(), turn: w.(*responseWriter).exchange.turn}
			<-answer
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	Convey("A request that is read before the end of its predecessor has a context of its own", t, func() {
		release := make(chan struct{})
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		held, released := holdEnds(s, release)
		in := bufio.NewReader(conn)
		pipelineRequests(conn, "/first")
		So(readBodies(in, 1), ShouldResemble, []string{"/first"})
		<-released
		pipelineRequests(conn, "/second")
		found := <-second
		close(release)
		for held.pending() > 1 {
			time.Sleep(time.Millisecond)
		}
		err := found.ctx.Err()
		close(answer)
		So(readBodies(in, 1), ShouldResemble, []string{"/second"})
		So(err, ShouldBeNil)
	})
}

func keepsItsOwnTurn(t *testing.T) {
	started, third := make(chan string, 3), make(chan seen, 1)
	answers := map[string]chan struct{}{"/first": make(chan struct{}), "/second": make(chan struct{}), "/third": make(chan struct{})}
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/third" {
			third <- seen{ctx: r.Context(), turn: w.(*responseWriter).exchange.turn}
		}
		started <- r.URL.Path
		<-answers[r.URL.Path]
		_, _ = io.WriteString(w, r.URL.Path)
	})
	Convey("A request that is read after the first response waits for the second", t, func() {
		release := make(chan struct{})
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		_, released := holdEnds(s, release)
		in := bufio.NewReader(conn)
		pipelineRequests(conn, "/first", "/second")
		<-started
		<-started
		close(answers["/first"])
		So(readBodies(in, 1), ShouldResemble, []string{"/first"})
		<-released
		pipelineRequests(conn, "/third")
		granted := false
		select {
		case <-(<-third).turn:
			granted = true
		default:
		}
		close(answers["/third"])
		close(answers["/second"])
		close(release)
		bodies := readBodies(in, 2)
		So(granted, ShouldBeFalse)
		So(bodies, ShouldResemble, []string{"/second", "/third"})
	})
}
