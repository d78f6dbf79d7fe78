package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
	"github.com/foxtailhook/foxtailhook/internal/proof/loopback"
	"github.com/foxtailhook/foxtailhook/internal/proof/malformed"
)

// startService starts a service that answers each connection's first request with the text.
func startService(t *testing.T, text string) netip.AddrPort {
	address := loopback.Address()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return address
}

// TestMalformedHeads guards against a list that is taken over although the head of its response is malformed, so that its length may be another one.
func TestMalformedHeads(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\n" + HeaderVersion + ": 7\r\n", "Content-Length: 2\r\n\r\n{}"
	Convey("A list with a sound head is taken over", t, func() {
		value, err := New(startService(t, head+end), netip.Addr{}).Watch(t.Context(), lists.KindPlans, 1, 0)
		So(err, ShouldBeNil)
		So(value, ShouldResemble, lists.Value{Kind: lists.KindPlans, Version: 7, Raw: []byte("{}")})
	})
	for _, field := range malformed.Fields {
		Convey("A list is not taken over with "+field.Name, t, func() {
			_, err := New(startService(t, head+field.Text+end), netip.Addr{}).Watch(t.Context(), lists.KindPlans, 1, 0)
			So(err, ShouldNotBeNil)
		})
	}
	for _, line := range malformed.StatusLines {
		Convey("A list is not taken over with "+line.Name, t, func() {
			_, err := New(startService(t, line.Text+"\r\n"+HeaderVersion+": 7\r\n"+end), netip.Addr{}).Watch(t.Context(), lists.KindPlans, 1, 0)
			So(err, ShouldNotBeNil)
		})
	}
}

// TestMalformedTrailers guards against a list that is taken over although its response ends with fields that the protocol doesn't allow.
func TestMalformedTrailers(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n" + HeaderVersion + ": 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	for _, trailer := range malformed.Trailers {
		Convey("A list is not taken over with "+trailer.Name, t, func() {
			_, err := New(startService(t, begin+trailer.Text+"\r\n"), netip.Addr{}).Watch(t.Context(), lists.KindPlans, 1, 0)
			So(err, ShouldNotBeNil)
		})
	}
}
