package instance

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// maxPeak is the largest heap in bytes that responses without end may take, whatever their number.
	maxPeak = 100 << 20
	// maxHeadTaken bounds the bytes that are taken of a head without end: the bound, and what the kernel buffers on both sides.
	maxHeadTaken = 16 << 20
	// endlessDeadline is how long a request has; a response without end must be given up long before.
	endlessDeadline = 20 * time.Second
)

// endlessInstance writes a beginning and then the same part over and over, on each connection until it is closed.
type endlessInstance struct {
	address     netip.AddrPort
	begin, part string
	// written counts the bytes.
	written atomic.Int64
}

func startEndless(t *testing.T, begin, part string) *endlessInstance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	i := &endlessInstance{address: netip.MustParseAddrPort(listener.Addr().String()), begin: begin, part: part}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	return i
}

func (i *endlessInstance) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_, _ = c.Read(make([]byte, 4<<10))
	_, _ = io.WriteString(c, i.begin)
	many := bytes.Repeat([]byte(i.part), max(64<<10/len(i.part), 1))
	for {
		n, err := c.Write(many)
		i.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// peakDuring returns the largest heap while f runs.
func peakDuring(f func()) uint64 {
	runtime.GC()
	done, sampled := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			select {
			case <-done:
				sampled <- peak
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	return <-sampled
}

// TestEndlessResponses guards against a process that is killed for its memory, with all requests that it holds, since an instance sends bytes without
// end.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
	for _, c := range []struct {
		name, begin, part string
		// head means that the head has no end.
		head bool
	}{
		{"a head of lines", head, "X-Line: x\r\n", true},
		{"a header line", head + "X-Line: ", "x", true},
		{"a status line", "HTTP/1.1 200 ", "x", true},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true},
		{"a chunk's size line", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "x", true},
		{"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: x\r\n", true},
		{"a body of chunks", head + "Transfer-Encoding: chunked\r\n\r\n", chunk, false},
		{"a body without a length", head + "Connection: close\r\n\r\n", "x", false},
		{"a body with a length that is far away", head + "Content-Length: 9000000000000\r\n\r\n", "x", false},
		{"responses to other requests", "", head + "Id: other\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000), true},
	} {
		for _, atOnce := range []int{1, 10} {
			Convey("An instance sends "+c.name+" without end", t, func() {
				i := startEndless(t, c.begin, c.part)
				client := New(i.address)
				defer client.Close()
				var lost atomic.Int64
				peak := peakDuring(func() {
					var sending sync.WaitGroup
					for range atOnce {
						sending.Go(func() {
							_, err := client.Do(t.Context(), &Request{
								Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(endlessDeadline), ID: "own",
								IDOf: func(h http.Header) string { return h.Get("Id") },
							})
							if err != nil {
								lost.Add(1)
							}
						})
					}
					sending.Wait()
				})
				t.Logf("%s, %d at once: peak %d MB, %d kB written", c.name, atOnce, peak>>20, i.written.Load()>>10)
				So(lost.Load(), ShouldEqual, atOnce)
				So(peak, ShouldBeLessThan, maxPeak)
				if c.head {
					So(i.written.Load(), ShouldBeLessThan, int64(atOnce)*maxHeadTaken)
				}
			})
		}
	}
}
