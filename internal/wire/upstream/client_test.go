package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/proof/malformed"
	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// serverCounts counts the requests and connections that a test server has received.
type serverCounts struct{ requests, conns atomic.Int32 }

// startRaw starts a server that sends one of the raw responses for each request it reads, in order over
// all connections. It closes the connection after the last response, or if that is okResponse, when the
// next request arrives. It counts requests and connections.
func startRaw(t *testing.T, responses ...string) (netip.AddrPort, *serverCounts) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	counts := &serverCounts{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			counts.conns.Add(1)
			go serveRaw(conn, responses, counts)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), counts
}

func serveRaw(conn net.Conn, responses []string, counts *serverCounts) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		number := int(counts.requests.Add(1))
		if number > len(responses) {
			return
		}
		if _, err := conn.Write([]byte(responses[number-1])); err != nil || number == len(responses) && responses[number-1] != okResponse {
			return
		}
	}
}

func request(method string) *call.Request {
	return &call.Request{
		ID: "1", Method: method, Path: "/", Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestRequestsAreSentOnce(t *testing.T) {
	// An upstream closes its connection just as a request arrives on it. The HTTP transport would retry
	// such a request by itself, with an Idempotency-Key header even a POST, and it could run twice.
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		Convey(method+" on a reused connection that fails is not retried", t, func() {
			address, counts := startRaw(t, okResponse)
			c := New(address)
			So(c.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Whole)
			So(c.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Unknown)
			So(counts.requests.Load(), ShouldEqual, 2)
			So(counts.conns.Load(), ShouldEqual, 1)
		})
	}
}

func TestResponseOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		response string
		outcome  call.Outcome
		reason   call.Reason
	}{
		{"whole", okResponse, call.Whole, call.None},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", call.Unknown, call.AnswerLost},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", call.Unknown, call.AnswerLost},
		{"no response", "", call.Unknown, call.AnswerLost},
		{"garbage", "what\r\n\r\n", call.Unknown, call.AnswerLost},
		{"shed by the upstream", "HTTP/1.1 503 Busy\r\nFoxtailhook-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", call.NotRun, call.UpstreamShed},
		{"failed by the upstream", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", call.Whole, call.None},
	}
	Convey("Only a request that certainly did not run has the outcome NotRun", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				address, _ := startRaw(t, c.response)
				a := New(address).Do(t.Context(), request(http.MethodPost), "t")
				So(a.Outcome, ShouldEqual, c.outcome)
				So(a.Reason, ShouldEqual, c.reason)
			})
		}
		Convey("connection refused", func() {
			So(New(loopback.Address()).Do(t.Context(), request(http.MethodPost), "t").Reason, ShouldEqual, call.NoUpstream)
		})
	})
}

// TestResponsesToOtherRequests guards against a response that isn't the request's own, or isn't final, and is passed on as its own.
func TestResponsesToOtherRequests(t *testing.T) {
	answered := func(id string) string {
		return "HTTP/1.1 200 OK\r\nFoxtailhook-Request-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	refused := "HTTP/1.1 503 Busy\r\nFoxtailhook-Request-Id: 0\r\nFoxtailhook-Outcome: notRun\r\nContent-Length: 2\r\n\r\nno"
	for _, c := range []struct {
		name, response string
		outcome        call.Outcome
	}{
		{"its own id", answered("1"), call.Whole},
		{"no id", okResponse, call.Whole},
		{"another request's id", answered("0"), call.Unknown},
		{"another request's refusal", refused, call.Unknown},
		{"another request's id first, then its own", answered("0") + answered("1"), call.Unknown},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", call.Unknown},
	} {
		Convey(c.name, t, func() {
			address, counts := startRaw(t, c.response, okResponse)
			client := New(address)
			So(client.Do(t.Context(), request(http.MethodGet), "t").Outcome, ShouldEqual, c.outcome)
			So(client.Do(t.Context(), request(http.MethodGet), "t").Outcome, ShouldEqual, call.Whole)
			if c.outcome != call.Whole {
				So(counts.conns.Load(), ShouldEqual, 2)
			}
		})
	}
}

// TestMalformedHeads guards against a response that is passed on although its head isn't one that the protocol allows, and against one more send of a request
// that may have run.
func TestMalformedHeads(t *testing.T) {
	for _, field := range malformed.Fields {
		for _, c := range []struct{ name, response string }{
			{"in the head", "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + field.Text + "Content-Length: 2\r\n\r\nok"},
			{"in an interim response", "HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n" + field.Text + "\r\n" + okResponse},
		} {
			Convey("A response is lost with "+field.Name+" "+c.name, t, func() {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					for _, earlier := range []int{0, 1} {
						address, counts := startRaw(t, slices.Concat(slices.Repeat([]string{okResponse}, earlier), []string{c.response, okResponse})...)
						client := New(address)
						for range earlier {
							So(client.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Whole)
						}
						answer := client.Do(t.Context(), request(method), "t")
						So(answer.Outcome, ShouldEqual, call.Unknown)
						So(answer.Reason, ShouldEqual, call.AnswerLost)
						So(counts.requests.Load(), ShouldEqual, earlier+1)
						So(client.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Whole)
					}
				}
			})
		}
	}
}

// TestMalformedStatusLines guards against a response that is passed on although it doesn't begin as one.
func TestMalformedStatusLines(t *testing.T) {
	for _, line := range malformed.StatusLines {
		Convey("A response is lost with "+line.Name, t, func() {
			address, counts := startRaw(t, line.Text+"\r\nContent-Length: 2\r\n\r\nok", okResponse)
			client := New(address)
			So(client.Do(t.Context(), request(http.MethodGet), "t").Reason, ShouldEqual, call.AnswerLost)
			So(counts.requests.Load(), ShouldEqual, 1)
			So(client.Do(t.Context(), request(http.MethodGet), "t").Outcome, ShouldEqual, call.Whole)
		})
	}
}

// TestMalformedBodies guards against a body that is passed on although it isn't whole, or isn't framed as the protocol says.
func TestMalformedBodies(t *testing.T) {
	for _, body := range malformed.Bodies {
		Convey("A response is lost with "+body.Name, t, func() {
			address, _ := startRaw(t, "HTTP/1.1 200 OK\r\n"+body.Text)
			So(New(address).Do(t.Context(), request(http.MethodPost), "t").Reason, ShouldEqual, call.AnswerLost)
		})
	}
}

// TestResetDuringUpload guards against the first part of a body that is passed on as the whole, since the connection was reset while the upload was being
// written.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 20
	l, err := net.Listen("tcp", loopback.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	Convey("A response without a length that is reset during an upload is lost", t, func() {
		client := New(netip.MustParseAddrPort(l.Addr().String()))
		for range uploads {
			r := request(http.MethodPost)
			r.Body = make([]byte, 8<<20)
			So(client.Do(t.Context(), r, "t").Reason, ShouldEqual, call.AnswerLost)
		}
	})
}

// TestChunksInHTTP10 guards against a part of a body in chunks that is passed on with their sizes.
func TestChunksInHTTP10(t *testing.T) {
	Convey("A response is lost with a transfer encoding and a length in HTTP/1.0", t, func() {
		address, _ := startRaw(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		So(New(address).Do(t.Context(), request(http.MethodGet), "t").Outcome, ShouldEqual, call.Unknown)
	})
}

// TestMoreFieldsThanMayBe guards against a head of many short lines, which takes far more memory than its bytes, and against idle connections that hold the
// memory of large heads.
func TestMoreFieldsThanMayBe(t *testing.T) {
	Convey("A response with too many fields is lost, and takes no memory any more", t, func() {
		const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		address, _ := startRaw(t, head+strings.Repeat("X-Line: x\r\n", 20_000)+"\r\nok", head+strings.Repeat("X-Line: x\r\n", 900)+"\r\nok")
		account := bounded.NewAccount(defaultLimits)
		client := New(address, WithAccount(account))
		So(client.Do(t.Context(), request(http.MethodGet), "t").Reason, ShouldEqual, call.AnswerLost)
		So(account.Usage(bounded.ResponseHead).Bytes, ShouldEqual, 0)
		answer := client.Do(t.Context(), request(http.MethodGet), "t")
		So(answer.Outcome, ShouldEqual, call.Whole)
		So(account.Usage(bounded.ResponseHead).Bytes, ShouldBeGreaterThan, 100<<10)
		answer.Held.Release()
		So(account.Held(), ShouldEqual, 0)
	})
}

// TestMalformedTrailers guards against a response that is passed on although it ends with fields that the protocol doesn't allow.
func TestMalformedTrailers(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "\r\n"
	Convey("A response with a sound trailer is passed on", t, func() {
		address, _ := startRaw(t, begin+"X-Sum: 1\r\n"+end)
		So(New(address).Do(t.Context(), request(http.MethodGet), "t").Outcome, ShouldEqual, call.Whole)
	})
	for _, trailer := range malformed.Trailers {
		Convey("A response is lost with a trailer with "+trailer.Name, t, func() {
			address, counts := startRaw(t, begin+trailer.Text+end, okResponse)
			answer := New(address).Do(t.Context(), request(http.MethodGet), "t")
			So(answer.Outcome, ShouldEqual, call.Unknown)
			So(answer.Reason, ShouldEqual, call.AnswerLost)
			So(counts.requests.Load(), ShouldEqual, 1)
		})
	}
}
