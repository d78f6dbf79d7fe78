package instance

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
	"github.com/foxtailhook/foxtailhook/internal/wire/responsehead"
)

// headReader reads responses whose heads are bounded and well-formed.
type headReader struct {
	*bufio.Reader
	source *bounded.Reader
}

// headBuffer is the size in bytes of the buffer for a response's head; it grows for a larger one.
const headBuffer = 4 << 10

func newHeadReader(from io.Reader) headReader {
	source := bounded.NewReader(from)
	return headReader{bufio.NewReaderSize(source, headBuffer), source}
}

// readHeader reads a response's header, skipping interim (1xx) responses; all of them together have maxHead bytes at most.
func (r *headReader) readHeader(req *http.Request) (*http.Response, error) {
	r.source.Bound(maxHead)
	defer r.source.Unbound()
	for {
		if err := r.awaitHead(); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(r.Reader, req)
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusContinue {
			return nil, errors.Errorf("status %03d does not exist", res.StatusCode)
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

// awaitHead reads until a whole head is in the buffer, and checks it.
func (r *headReader) awaitHead() error {
	var scanner responsehead.Scanner
	for scanned := 0; ; {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		n, ended, err := scanner.Scan(buffered[scanned:])
		if err != nil || ended {
			return err
		}
		scanned += n
		if scanned == r.Size() {
			r.grow()
		}
		switch _, err := r.Peek(scanned + 1); {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// grow makes the buffer, which is full, twice as large.
func (r *headReader) grow() {
	full, _ := r.Peek(r.Buffered())
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(full)), r.source), 2*len(full))
}

// shrink gives the memory of a buffer that has grown back, once it is empty.
func (r *headReader) shrink() {
	if r.Size() > headBuffer && r.Buffered() == 0 {
		r.Reader = bufio.NewReaderSize(r.source, headBuffer)
	}
}
