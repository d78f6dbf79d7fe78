package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/call"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
)

// counts are the requests and connections that an upstream has seen.
type counts struct{ requests, conns atomic.Int32 }

// startRaw answers the requests it reads, over all connections, with one of the
// answers each and closes the connection when none is left; it counts them.
func startRaw(t *testing.T, answers ...string) (netip.AddrPort, *counts) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen := &counts{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			seen.conns.Add(1)
			go serveRaw(conn, answers, seen)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), seen
}

func serveRaw(conn net.Conn, answers []string, seen *counts) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		number := int(seen.requests.Add(1))
		if number > len(answers) {
			return
		}
		if _, err := conn.Write([]byte(answers[number-1])); err != nil || number == len(answers) && answers[number-1] != ok {
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

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestNoRequestIsSentTwice(t *testing.T) {
	// An upstream closes its connection just as a request arrives on it. HTTP
	// clients repeat such a request by themselves, one with an Idempotency-Key
	// even for POST, and an owner gets the same notice twice.
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		Convey(method+" on a reused connection that fails is not repeated", t, func() {
			address, seen := startRaw(t, ok)
			c := New(address)
			So(c.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Whole)
			So(c.Do(t.Context(), request(method), "t").Outcome, ShouldEqual, call.Unknown)
			So(seen.requests.Load(), ShouldEqual, 2)
			So(seen.conns.Load(), ShouldEqual, 1)
		})
	}
}

func TestTruthOfAnswers(t *testing.T) {
	cases := []struct {
		name    string
		answer  string
		outcome call.Outcome
		reason  call.Reason
	}{
		{"whole", ok, call.Whole, call.None},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", call.Unknown, call.AnswerLost},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", call.Unknown, call.AnswerLost},
		{"no answer", "", call.Unknown, call.AnswerLost},
		{"garbage", "what\r\n\r\n", call.Unknown, call.AnswerLost},
		{"shed by the upstream", "HTTP/1.1 503 Busy\r\nFoxtailhook-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", call.NotRun, call.UpstreamShed},
		{"failed by the upstream", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", call.Whole, call.None},
	}
	Convey("Only a proven refusal is called not run", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				address, _ := startRaw(t, c.answer)
				a := New(address).Do(t.Context(), request(http.MethodPost), "t")
				So(a.Outcome, ShouldEqual, c.outcome)
				So(a.Reason, ShouldEqual, c.reason)
			})
		}
		Convey("nobody listens", func() {
			So(New(loopback.Address()).Do(t.Context(), request(http.MethodPost), "t").Reason, ShouldEqual, call.NoUpstream)
		})
	})
}
