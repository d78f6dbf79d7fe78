package instance

import (
	"bufio"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// headReader reads responses whose heads are bounded.
type headReader struct {
	*bufio.Reader
	source *bounded.Reader
}

func newHeadReader(from io.Reader) headReader {
	source := bounded.NewReader(from)
	return headReader{bufio.NewReader(source), source}
}

// readHeader reads a response's header, skipping interim (1xx) responses; all of them together have maxHead bytes at most.
func (r headReader) readHeader(req *http.Request) (*http.Response, error) {
	r.source.Bound(maxHead)
	defer r.source.Unbound()
	for {
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
