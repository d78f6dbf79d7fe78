package instance

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/foxtailhook/foxtailhook/internal/proof/malformed"
)

// answerWith sends one request to an instance that answers with the text and closes the connection.
func answerWith(t *testing.T, text string) (Response, error) {
	instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, text)
		}
	})
	return New(instance.address).Do(t.Context(), request("1"))
}

// TestMalformedHeads guards against a response that is passed on although its head isn't one that the protocol allows: with a field whose name is misread,
// the body isn't the instance's either.
func TestMalformedHeads(t *testing.T) {
	const head, own = "HTTP/1.1 200 OK\r\n", idHeader + ": 1\r\n"
	for _, field := range malformed.Fields {
		for _, c := range []struct{ name, text string }{
			{"in the head", head + own + field.Text + "\r\nbody"},
			{"in a head with a length", head + own + field.Text + "Content-Length: 4\r\n\r\nbody"},
			{"in the head before chunks", head + own + field.Text + "\r\n4\r\nbody\r\n0\r\n\r\n"},
			{"in an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + field.Text + "\r\n" + response("1", "body")},
		} {
			Convey("A response is lost with "+field.Name+" "+c.name, t, func() {
				_, err := answerWith(t, c.text)
				So(errors.Is(err, ErrLost), ShouldBeTrue)
			})
		}
	}
	for _, line := range malformed.StatusLines {
		Convey("A response is lost with "+line.Name, t, func() {
			for _, rest := range []string{"Content-Length: 4\r\n\r\nbody", "\r\nbody"} {
				_, err := answerWith(t, line.Text+"\r\n"+own+rest)
				So(errors.Is(err, ErrLost), ShouldBeTrue)
			}
		})
	}
	Convey("A head that is larger than a reader's buffer is read whole", t, func() {
		const line = "X-Line: a value that takes some more bytes than it has to, so that a large head has few lines\r\n"
		long := strings.Repeat(line, 5*headBuffer/len(line))
		res, err := answerWith(t, "HTTP/1.1 103 Early Hints\r\n"+long+"\r\n"+head+own+long+"Content-Length: 4\r\n\r\nbody")
		So(err, ShouldBeNil)
		So(string(res.Body), ShouldEqual, "body")
		So(len(res.Header["X-Line"]), ShouldEqual, 5*headBuffer/len(line))
	})
}

// TestMalformedBodies guards against a body that is passed on although it isn't whole, or isn't framed as the protocol says.
func TestMalformedBodies(t *testing.T) {
	for _, body := range malformed.Bodies {
		Convey("A response is lost with "+body.Name, t, func() {
			_, err := answerWith(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\n"+body.Text)
			So(errors.Is(err, ErrLost), ShouldBeTrue)
		})
	}
}

// TestChunksInHTTP10 guards against a body that is passed on with the sizes of its chunks, or a part of it.
func TestChunksInHTTP10(t *testing.T) {
	const begin, chunks = "HTTP/1.0 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n", "\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, length := range []string{"", "Content-Length: 14\r\n", "Content-Length: 4\r\n"} {
		Convey("A response is lost with a transfer encoding in HTTP/1.0 and "+strconv.Quote(length), t, func() {
			_, err := answerWith(t, begin+length+chunks)
			So(errors.Is(err, ErrLost), ShouldBeTrue)
		})
	}
}

// TestMalformedTrailers guards against a response that is passed on although it ends with fields that the protocol doesn't allow.
func TestMalformedTrailers(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "\r\n"
	Convey("A response with a sound trailer is passed on", t, func() {
		res, err := answerWith(t, begin+"X-Sum: 1\r\n"+end)
		So(err, ShouldBeNil)
		So(string(res.Body), ShouldEqual, "body")
	})
	for _, trailer := range malformed.Trailers {
		Convey("A response is lost with a trailer with "+trailer.Name, t, func() {
			_, err := answerWith(t, begin+trailer.Text+"X-Sum: 1\r\n"+end)
			So(errors.Is(err, ErrLost), ShouldBeTrue)
		})
	}
}

// TestLargeHeadsOnOneConnection guards against a connection that keeps the memory of a large head, or loses bytes behind it.
func TestLargeHeadsOnOneConnection(t *testing.T) {
	Convey("Large and small heads alternate on a connection", t, func() {
		long := "X-Long: " + strings.Repeat("x", 5*headBuffer)
		instance := startInstance(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				id, _, ok := readRequest(r)
				if !ok {
					return
				}
				answer := response(id, "for "+id)
				if n%2 == 0 {
					answer = strings.Replace(answer, "\r\n", "\r\n"+long+"\r\n", 1)
				}
				_, _ = io.WriteString(c, answer)
			}
		})
		client := New(instance.address)
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			res, err := client.Do(t.Context(), request(id))
			So(err, ShouldBeNil)
			So(string(res.Body), ShouldEqual, "for "+id)
			So(client.pool.idle[0].reader.Size(), ShouldEqual, headBuffer)
		}
		So(instance.opened.Load(), ShouldEqual, 1)
	})
}
