package httpd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// anyLoopbackPort makes the kernel choose a free port.
var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// pipelineRequests sends requests for the paths without waiting for responses.
func pipelineRequests(conn net.Conn, paths ...string) {
	_, err := conn.Write([]byte(requests(paths...)))
	So(err, ShouldBeNil)
}

// requests returns the text of GET requests for the paths.
func requests(paths ...string) string {
	var raw strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&raw, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	}
	return raw.String()
}

// readBodies reads count responses and returns their bodies.
func readBodies(in *bufio.Reader, count int) []string {
	var bodies []string
	for range count {
		res, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		raw, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		bodies = append(bodies, string(raw))
	}
	return bodies
}

// echoPath responds with the request's path; if that begins with /slow, it waits until release is closed.
func echoPath(started chan string, release chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if strings.HasPrefix(r.URL.Path, "/slow") {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
}

func TestPipelinedRequests(t *testing.T) {
	// Guards against a quick request that waits behind a slow one of its connection while its deadline approaches.
	started, release := make(chan string, 8), make(chan struct{})
	s, _ := startStoppable(t, echoPath(started, release))
	Convey("All run at the same time, and the responses are sent in order", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		pipelineRequests(conn, "/slow", "/a", "/b")
		running := map[string]bool{}
		for range 3 {
			running[<-started] = true
		}
		So(running, ShouldResemble, map[string]bool{"/slow": true, "/a": true, "/b": true})
		close(release)
		So(readBodies(bufio.NewReader(conn), 3), ShouldResemble, []string{"/slow", "/a", "/b"})
	})
}

func TestCallerOfPipelinedRequestsDisconnects(t *testing.T) {
	// Guards against requests that keep running after their caller has disconnected: only the first one's context was cancelled.
	started, ended := make(chan struct{}, 3), make(chan struct{}, 3)
	s, _ := startStoppable(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	Convey("The contexts of all its requests are cancelled", t, func() {
		conn := dial(s)
		pipelineRequests(conn, "/a", "/b", "/c")
		for range 3 {
			<-started
		}
		So(conn.Close(), ShouldBeNil)
		for range 3 {
			<-ended
		}
	})
}

func TestRequestsAfterConnectionClose(t *testing.T) {
	// Guards against running a request after one that closes the connection: the caller assumes that it wasn't read and retries it.
	var ran atomic.Int32
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	Convey("Nothing runs after a request that asks to close the connection", t, func() {
		conn := dial(s)
		raw := requests("/a") + "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + requests("/c", "/d")
		_, err := conn.Write([]byte(raw))
		So(err, ShouldBeNil)
		in := bufio.NewReader(conn)
		So(readBodies(in, 2), ShouldResemble, []string{"/a", "/b"})
		_, err = in.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(ran.Load(), ShouldEqual, 2)
	})
}

func TestPipelinedRequestsWhileClosing(t *testing.T) {
	// Guards against losing running requests when the daemon shuts down: the first response closed their connection.
	started, release := make(chan string, 8), make(chan struct{})
	var closing atomic.Bool
	s, _ := startStoppable(t, echoPath(started, release), WithClosing(closing.Load))
	Convey("The received requests are answered, the last response closes the connection, and no more are read", t, func() {
		conn := dial(s)
		pipelineRequests(conn, "/slow1", "/slow2")
		<-started
		<-started
		closing.Store(true)
		close(release)
		in := bufio.NewReader(conn)
		first, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		So(first.Close, ShouldBeFalse)
		_, _ = io.Copy(io.Discard, first.Body)
		_, _ = conn.Write([]byte(requests("/late")))
		second, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		So(second.Close, ShouldBeTrue)
		_, _ = io.Copy(io.Discard, second.Body)
		_, err = in.ReadByte()
		So(err, ShouldEqual, io.EOF)
		So(started, ShouldBeEmpty)
	})
}

func TestPendingRequestLimit(t *testing.T) {
	// Guards against one connection using up the memory and goroutines of the daemon, and against an arrival time that
	// leaves out the wait for earlier requests.
	started, release := make(chan string, 2*maxPending), make(chan struct{})
	var arrived atomic.Pointer[time.Time]
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/waits" {
			at := Arrived(r.Context())
			arrived.Store(&at)
		}
		echoPath(started, release)(w, r)
	})
	Convey("At most maxRunning run at a time, up to maxPending are accepted with their arrival times, and the next is refused after them", t, func() {
		conn := dial(s)
		paths := make([]string, maxPending+5)
		for n := range paths {
			paths[n] = "/slow"
		}
		paths[maxPending-1] = "/waits"
		pipelineRequests(conn, paths...)
		for range maxRunning {
			<-started
		}
		awaitPending(s, maxPending+1)
		So(started, ShouldBeEmpty)
		released := time.Now()
		close(release)
		in := bufio.NewReader(conn)
		for range maxPending {
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			_, _ = io.Copy(io.Discard, res.Body)
		}
		res, err := http.ReadResponse(in, nil)
		So(err, ShouldBeNil)
		So(res.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(res.Close, ShouldBeTrue)
		So(*arrived.Load(), ShouldHappenBefore, released)
	})
}

// awaitPending waits until the only connection has count pending requests, including a refused one.
func awaitPending(s *Server, count int) {
	for pending := 0; pending < count; {
		time.Sleep(time.Millisecond)
		s.guards.Range(func(_, value any) bool {
			pending = value.(*guard).pending()
			return true
		})
	}
}

func TestCallerThatReadsSlowly(t *testing.T) {
	// Guards against using up the memory for the responses to a caller that sends requests and doesn't read.
	const count, size = 60, 256 << 10
	var ran atomic.Int32
	body := bytes.Repeat([]byte("x"), size)
	s, _ := startStoppable(t, func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(body)
	})
	Convey("Its requests wait until it reads, and then all are answered", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		So(conn.(*net.TCPConn).SetReadBuffer(128<<10), ShouldBeNil)
		paths := make([]string, count)
		for n := range paths {
			paths[n] = "/"
		}
		pipelineRequests(conn, paths...)
		running := awaitStable(&ran)
		So(running, ShouldBeLessThan, count)
		for _, body := range readBodies(bufio.NewReader(conn), count) {
			So(len(body), ShouldEqual, size)
		}
		So(ran.Load(), ShouldEqual, count)
	})
}

// awaitStable returns the count once it has not changed for 50 ms.
func awaitStable(count *atomic.Int32) int {
	for last := int32(-1); ; {
		time.Sleep(50 * time.Millisecond)
		now := count.Load()
		if now == last && now > 0 {
			return int(now)
		}
		last = now
	}
}

// FuzzRequestsAhead sends pipelined requests, split at any byte: each is answered once, in order.
func FuzzRequestsAhead(f *testing.F) {
	f.Add(uint8(3), uint16(7), true)
	f.Add(uint8(20), uint16(1), false)
	f.Add(uint8(40), uint16(300), true)
	f.Fuzz(func(t *testing.T, count uint8, piece uint16, closes bool) {
		count, piece = count%64+1, piece%2000+1
		s := New(anyLoopbackPort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, raw)
		}))
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.engine.Shutdown(t.Context()) }()
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		var raw strings.Builder
		for n := range int(count) {
			end := ""
			if closes && n == int(count)-1 {
				end = "Connection: close\r\n"
			}
			fmt.Fprintf(&raw, "POST /%d HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", n, end, n, strings.Repeat("b", n))
		}
		go func() {
			for rest := raw.String(); rest != ""; {
				length := min(int(piece), len(rest))
				_, _ = io.WriteString(conn, rest[:length])
				rest = rest[length:]
			}
		}()
		in := bufio.NewReader(conn)
		for n := range int(count) {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(res.Body)
			if want := fmt.Sprintf("/%d %s", n, strings.Repeat("b", n)); string(got) != want {
				t.Fatalf("response %d is %q", n, got)
			}
		}
	})
}

// BenchmarkPipelinedRequests measures quick requests that are pipelined after requests that take 20 ms.
func BenchmarkPipelinedRequests(b *testing.B) {
	s := New(anyLoopbackPort, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(w, time.Since(Arrived(r.Context())).String())
	}))
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	in := bufio.NewReader(conn)
	for b.Loop() {
		_, _ = io.WriteString(conn, requests("/slow", "/quick", "/slow", "/quick"))
		for range 4 {
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
	}
}
