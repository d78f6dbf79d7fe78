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
	// account counts the memory of heads, unless it is nil.
	account *bounded.Account
}

// headBuffer is the size in bytes of the buffer for a response's head; it grows for a larger one.
const headBuffer = 4 << 10

func newHeadReader(from io.Reader) headReader {
	source := bounded.NewReader(from)
	return headReader{Reader: bufio.NewReaderSize(source, headBuffer), source: source}
}

// readHeader reads a response's header, skipping interim (1xx) responses; all of them together have maxHead bytes at most. The memory that is held for a
// large head is to be released when the header isn't used any more.
func (r *headReader) readHeader(req *http.Request) (*http.Response, *bounded.Hold, error) {
	r.source.Bound(maxHead)
	defer r.source.Unbound()
	memory := responsehead.NewMemory(r.account)
	res, err := r.readFinal(req, &memory)
	if err != nil {
		memory.Hold().Release()
		return nil, nil, err
	}
	return res, memory.Hold(), nil
}

// readFinal reads the header of the first response that isn't an interim one.
func (r *headReader) readFinal(req *http.Request, memory *responsehead.Memory) (*http.Response, error) {
	for {
		if err := r.awaitHead(memory); err != nil {
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

// awaitHead reads until a whole head is in the buffer, and checks it and what it takes.
func (r *headReader) awaitHead(memory *responsehead.Memory) error {
	var scanner responsehead.Scanner
	for scanned := 0; ; {
		fields := scanner.Fields()
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		n, ended, err := scanner.Scan(buffered[scanned:])
		if err == nil {
			err = memory.Add(n, scanner.Fields()-fields)
		}
		if err != nil || ended {
			return err
		}
		scanned += n
		if err := r.awaitMore(scanned); err != nil {
			return err
		}
	}
}

// awaitMore reads on behind what the buffer has.
func (r *headReader) awaitMore(buffered int) error {
	if buffered == r.Size() {
		r.grow()
	}
	_, err := r.Peek(buffered + 1)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
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
