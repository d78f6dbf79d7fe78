package responsehead

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/malformed"
)

// scan scans the text in parts of the size, and returns how many of its bytes belong to the head.
func scan(text string, size int) (n int, ended bool, s Scanner, err error) {
	for n < len(text) && !ended && err == nil {
		part := text[n:min(n+size, len(text))]
		var scanned int
		scanned, ended, err = s.Scan([]byte(part))
		n += scanned
	}
	return n, ended, s, err
}

// partSizes are the sizes in bytes in which the tests' heads arrive.
var partSizes = []int{1, 2, 3, 7, 1 << 20}

// TestMalformedFields guards against a head with a field whose name net/http reads in another way than the server meant, so that the body isn't the server's.
func TestMalformedFields(t *testing.T) {
	for _, field := range malformed.Fields {
		Convey("A head is malformed with "+field.Name, t, func() {
			for _, size := range partSizes {
				for _, head := range []string{
					"HTTP/1.1 200 OK\r\n" + field.Text + "\r\n",
					"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + field.Text + "X-Last: 1\r\n\r\n",
					"HTTP/1.1 200 OK\nX-First: 1\n" + field.Text + "\n",
				} {
					_, ended, _, err := scan(head, size)
					So(errors.Is(err, ErrMalformed), ShouldBeTrue)
					So(ended, ShouldBeFalse)
				}
			}
		})
	}
}

// TestMalformedStatusLines guards against bytes that are taken for a response although they don't begin as one: what follows would be taken for the body.
func TestMalformedStatusLines(t *testing.T) {
	for _, c := range []struct {
		line      string
		malformed bool
	}{
		{"HTTP/1.1 200 OK", false},
		{"HTTP/1.0 200", false},
		{"HTTP/1.9  200 \tO\xc3\xb6K ", false},
		{"HTTP/0.9 200 OK", true},
		{"HTTP/2.0 200 OK", true},
		{"HTTP/1.10 200 OK", true},
		{"HTTP/1. 200 OK", true},
		{"http/1.1 200 OK", true},
		{" HTTP/1.1 200 OK", true},
		{"HTTP/1.1", true},
		{"HTTP/1.1\t200 OK", true},
		{"HTTP/1.1 2\x0000 OK", true},
		{"HTTP/1.1 200 O\x00K", true},
		{"HTTP/1.1 200 O\x1fK", true},
		{"HTTP/1.1 200 O\x7fK", true},
		{"HTTP/1.1 200 O\rK", true},
	} {
		Convey(fmt.Sprintf("Is %q malformed: %v", c.line, c.malformed), t, func() {
			for _, size := range partSizes {
				_, ended, _, err := scan(c.line+"\r\nX-First: 1\r\n\r\n", size)
				So(errors.Is(err, ErrMalformed), ShouldEqual, c.malformed)
				So(ended, ShouldNotEqual, c.malformed)
			}
		})
	}
}

// TestTransferEncodingOfHTTP10 guards against a body that is passed on with the sizes of its chunks: HTTP/1.0 knows no transfer encoding.
func TestTransferEncodingOfHTTP10(t *testing.T) {
	for _, c := range []struct {
		line, field string
		malformed   bool
	}{
		{"HTTP/1.0 200 OK", "Transfer-Encoding: chunked", true},
		{"HTTP/1.0 200", "tRANSFER-eNCODING:", true},
		{"HTTP/1.1 200 OK", "Transfer-Encoding: chunked", false},
		{"HTTP/1.0 200 OK", "Transfer-Encodin: chunked", false},
		{"HTTP/1.0 200 OK", "Transfer-Encodings: chunked", false},
		{"HTTP/1.0 200 OK", "XTransfer-Encoding: chunked", false},
		{"HTTP/1.0 200 OK", "Transfer+Encoding: Transfer-Encoding:", false},
	} {
		Convey("A head is malformed as the protocol says: "+c.line+", "+c.field, t, func() {
			for _, size := range partSizes {
				_, _, _, err := scan(c.line+"\r\nX-First: 1\r\n"+c.field+"\r\n\r\n", size)
				So(errors.Is(err, ErrMalformed), ShouldEqual, c.malformed)
			}
		})
	}
}

// TestWellFormedHeads guards against a head that is rejected although the protocol allows it, and against one whose end is found elsewhere than net/http
// finds it.
func TestWellFormedHeads(t *testing.T) {
	for _, c := range []struct {
		name, head string
		interim    bool
	}{
		{"no field", "HTTP/1.1 200 OK\r\n\r\n", false},
		{"no reason phrase", "HTTP/1.1 200\r\n\r\n", false},
		{"an empty reason phrase", "HTTP/1.1 200 \r\n\r\n", false},
		{"HTTP/1.0", "HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n", false},
		{"fields with and without values", "HTTP/1.1 200 OK\r\nA: 1\r\nB:\r\nC:2\r\nD: \t x y\t\r\n\r\n", false},
		{"all bytes of a token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: 1\r\n\r\n", false},
		{"bytes beyond ASCII in a value", "HTTP/1.1 200 OK\r\nA: \xc3\xb6\r\n\r\n", false},
		{"lines that end with LF", "HTTP/1.1 200 OK\nA: 1\n\n", false},
		{"an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", true},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
	} {
		Convey("A head is well-formed with "+c.name, t, func() {
			for _, size := range partSizes {
				n, ended, s, err := scan(c.head+"body: x\r\n\r\n", size)
				So(err, ShouldBeNil)
				So(ended, ShouldBeTrue)
				So(n, ShouldEqual, len(c.head))
				So(s.IsInterim(), ShouldEqual, c.interim)
			}
		})
	}
	Convey("A head without an end has not ended", t, func() {
		_, ended, _, err := scan("HTTP/1.1 200 OK\r\nA: 1\r\n", 1)
		So(err, ShouldBeNil)
		So(ended, ShouldBeFalse)
	})
}

// FuzzScanner compares the scanner with net/http: what the scanner takes for a whole head, net/http must read to the same end, or reject, and it must find
// no name that isn't a token.
func FuzzScanner(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n\r\nrest")
	f.Add("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
	f.Add("HTTP/1.0 200\nContent-Length: 1\n\nx")
	for _, line := range malformed.StatusLines {
		f.Add(line.Text + "\r\nA: 1\r\n\r\n")
	}
	for _, field := range malformed.Fields {
		f.Add("HTTP/1.1 200 OK\r\nA: 1\r\n" + field.Text + "\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, ended, s, err := scan(text, len(text)+1)
		if inParts, endedInParts, _, errInParts := scan(text, 1); inParts != n || endedInParts != ended || (err == nil) != (errInParts == nil) {
			t.Fatalf("%d, %v, %v in one part, %d, %v, %v byte by byte", n, ended, err, inParts, endedInParts, errInParts)
		}
		if !ended {
			return
		}
		rest := strings.NewReader(text)
		reader := bufio.NewReader(rest)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if end := len(text) - rest.Len() - reader.Buffered(); end != n {
			t.Errorf("the head has %d bytes, %d for net/http", n, end)
		}
		if !HasOnlyTokens(res.Header) {
			t.Errorf("fields %q", res.Header)
		}
		if interim := res.StatusCode >= 100 && res.StatusCode < 200 && res.StatusCode != 101; interim != s.IsInterim() {
			t.Errorf("status %d, interim: %v", res.StatusCode, s.IsInterim())
		}
	})
}
