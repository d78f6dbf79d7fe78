package httpd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// chunked returns the body in chunks of the size.
func chunked(body []byte, size int) []byte {
	var out bytes.Buffer
	for rest := body; len(rest) > 0; {
		n := min(size, len(rest))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}

// TestLargeBodyIsHeldOnce guards against a daemon whose memory a few uploads use up, since each is copied while it arrives: in the parser's buffer, which
// grows, in the request's body and in the handler.
func TestLargeBodyIsHeldOnce(t *testing.T) {
	const size = 32 << 20
	account := bounded.NewAccount(bounded.LimitsOf(288 << 20))
	got := make(chan []byte, 1)
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := ReadBody(r)
		w.WriteHeader(http.StatusOK)
		got <- raw
	}, WithAccount(account))
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	for _, c := range []struct {
		name, header string
		raw          []byte
		// copies is how many times its size a body may allocate in all.
		copies float64
	}{
		{"of known length", fmt.Sprintf("Content-Length: %d", size), sent, 1.2},
		{"in chunks of 32 kB", "Transfer-Encoding: chunked", chunked(sent, 32<<10), 2.2},
		{"in one chunk", "Transfer-Encoding: chunked", chunked(sent, size), 2.2},
	} {
		Convey("A body "+c.name+" is allocated once, and once more to join its chunks", t, func() {
			conn := dial(s)
			defer func() { _ = conn.Close() }()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+c.header+"\r\n\r\n")
			So(err, ShouldBeNil)
			_, err = conn.Write(c.raw)
			So(err, ShouldBeNil)
			raw := <-got
			runtime.ReadMemStats(&after)
			So(bytes.Equal(raw, sent), ShouldBeTrue)
			So(float64(after.TotalAlloc-before.TotalAlloc), ShouldBeLessThan, c.copies*size)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			So(res.StatusCode, ShouldEqual, http.StatusOK)
			for account.Held() > 0 {
				runtime.Gosched()
			}
		})
	}
}

// TestKeptConnectionHoldsNoBody guards against a connection that is kept open and holds the last large body that it brought: a few of them used up the
// daemon's memory while nothing was going on.
func TestKeptConnectionHoldsNoBody(t *testing.T) {
	bodies := make(chan weak.Pointer[byte], 1)
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := ReadBody(r)
		bodies <- weak.Make(&raw[0])
		w.WriteHeader(http.StatusOK)
	})
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	for _, c := range []struct {
		name, header string
		raw          []byte
	}{
		{"of known length", fmt.Sprintf("Content-Length: %d", len(sent)), sent},
		{"in chunks", "Transfer-Encoding: chunked", chunked(sent, 32<<10)},
	} {
		Convey("A body "+c.name+" is collected once its request is answered", t, func() {
			conn := dial(s)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+c.header+"\r\n\r\n")
			_, _ = conn.Write(c.raw)
			body := <-bodies
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			So(err, ShouldBeNil)
			for end := time.Now().Add(10 * time.Second); body.Value() != nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
				runtime.GC()
			}
			So(body.Value() == nil, ShouldBeTrue)
		})
	}
}

// TestRequestsBehindLargeBodies guards against bytes behind a body that are lost or taken for a part of it: they are the next requests of the connection.
func TestRequestsBehindLargeBodies(t *testing.T) {
	s, _ := startStoppable(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := ReadBody(r)
		_, _ = fmt.Fprintf(w, "%s %d %x", r.URL.Path, len(raw), raw[:min(len(raw), 4)])
	})
	large := bytes.Repeat([]byte("large"), 20_000)
	var stream bytes.Buffer
	var want []string
	add := func(path, header string, raw, body []byte) {
		fmt.Fprintf(&stream, "POST %s HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", path, header, raw)
		want = append(want, fmt.Sprintf("%s %d %x", path, len(body), body[:min(len(body), 4)]))
	}
	for n := range 20 {
		add(fmt.Sprintf("/known/%d", n), fmt.Sprintf("Content-Length: %d", len(large)), large, large)
		add(fmt.Sprintf("/small/%d", n), "Content-Length: 5", []byte("small"), []byte("small"))
		add(fmt.Sprintf("/chunks/%d", n), "Transfer-Encoding: chunked", chunked(large, 1000+n), large)
		add(fmt.Sprintf("/few/%d", n), "Transfer-Encoding: chunked", chunked([]byte("few"), 1), []byte("few"))
		add(fmt.Sprintf("/none/%d", n), "Transfer-Encoding: chunked\r\nTrailer: X-Sum", []byte("0;x=1\r\nX-Sum: 3\r\n\r\n"), nil)
	}
	Convey("Each request is answered in its turn, with its own body", t, func() {
		conn := dial(s)
		defer func() { _ = conn.Close() }()
		go func() {
			for rest := stream.Bytes(); len(rest) > 0; {
				n := min(len(rest), 70_001)
				_, _ = conn.Write(rest[:n])
				rest = rest[n:]
			}
		}()
		in := bufio.NewReader(conn)
		for _, w := range want {
			res, err := http.ReadResponse(in, nil)
			So(err, ShouldBeNil)
			raw, err := io.ReadAll(res.Body)
			So(err, ShouldBeNil)
			So(string(raw), ShouldEqual, w)
		}
	})
}

// TestMalformedChunks guards against request smuggling: two parsers that find the end of a body in different places.
func TestMalformedChunks(t *testing.T) {
	cases := []struct{ name, raw string }{
		{"no size", "\r\nx\r\n"},
		{"a size that isn't hexadecimal", "5g\r\nhello\r\n0\r\n\r\n"},
		{"a negative size", "-5\r\nhello\r\n0\r\n\r\n"},
		{"a signed size", "+5\r\nhello\r\n0\r\n\r\n"},
		{"a size with a prefix", "0x5\r\nhello\r\n0\r\n\r\n"},
		{"a size that is too large for any body", "fffffffffffffffff\r\n"},
		{"a line that ends without a carriage return", "5\nhello\r\n0\r\n\r\n"},
		{"a carriage return within a line", "5\r;x\r\nhello\r\n0\r\n\r\n"},
		{"a chunk that is longer than its size", "5\r\nhello!\r\n0\r\n\r\n"},
		{"a trailer without a name", "0\r\n: x\r\n\r\n"},
		{"a line without end", strings.Repeat("0", 5000)},
	}
	Convey("The reader returns an error", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := chunkReader{maxTrailer: 100}
				_, _, err := r.read([]byte(c.raw), func([]byte) error { return nil })
				So(err, ShouldWrap, errChunk)
			})
		}
	})
}

// FuzzChunkReader compares the reader with that of the standard library: what it takes, that one takes too, with the same body and the same rest.
func FuzzChunkReader(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\nGET"), 3)
	f.Add([]byte("5;x=\"y\" \r\nhello\r\n00\r\nA: b\r\n\r\n"), 1)
	f.Add([]byte("a \t\r\nhello hell\r\n0\r\n\r\n"), 100)
	f.Fuzz(func(t *testing.T, raw []byte, step int) {
		step = min(max(step, 1), max(len(raw), 1))
		r := chunkReader{maxTrailer: 1000}
		var got, rest []byte
		done := false
		for offset := 0; offset < len(raw) && !done; offset += step {
			var err error
			rest, done, err = r.read(raw[offset:min(offset+step, len(raw))], func(p []byte) error {
				got = append(got, p...)
				return nil
			})
			if err != nil {
				return
			}
			if done {
				rest = append(bytes.Clone(rest), raw[min(offset+step, len(raw)):]...)
			}
		}
		if !done {
			return
		}
		in := bufio.NewReader(bytes.NewReader(raw))
		want, err := io.ReadAll(httputil.NewChunkedReader(in))
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("body %q, want %q, error %v", got, want, err)
		}
		behind, _ := io.ReadAll(in)
		if !bytes.HasSuffix(behind, rest) {
			t.Fatalf("rest %q, want the end of %q", rest, behind)
		}
	})
}
