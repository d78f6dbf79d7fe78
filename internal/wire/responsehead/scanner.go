package responsehead

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

// ErrMalformed means that a head isn't one of an HTTP/1 response.
var ErrMalformed = errors.New("responsehead: malformed")

// Scanner checks the head of one response. Its bytes may come in any parts. The zero value is ready for use.
//
// It checks the names of fields, which must be tokens: for net/http a blank may be part of a name, so that it doesn't know a field such as the length of the
// body as such. A line that continues the one before it is malformed too, as are a status line of another version than HTTP/1, one with control bytes in it,
// and an HTTP/1.0 response with a transfer encoding. What else net/http rejects is left to it.
type Scanner struct {
	at position
	// fields is the number of fields that have begun.
	fields int
	// status is the status, or what has been scanned of it.
	status int
	// version is how many bytes of the version have been scanned, and minorVersion the last one.
	version      int
	minorVersion byte
	// matching is how many bytes of the current field's name are those of transferEncoding, or noMatch.
	matching int
}

// transferEncoding is the name, in lower case, of the field that no HTTP/1.0 response may have. net/http ignores it there, and takes the chunks with their
// sizes for the body.
const transferEncoding = "transfer-encoding"

const noMatch = -1

// majorVersion begins the version of every response.
const majorVersion = "HTTP/1."

// position is where in a head the next byte stands.
type position uint8

const (
	inVersion position = iota
	beforeStatus
	inStatus
	inReason
	atLineStart
	inName
	inValue
	// inLineEnd is between CR and LF of the status line, and inHeadEnd between those of the empty line.
	inLineEnd
	inHeadEnd
	atEnd
)

// Scan checks the next bytes up to the end of the head. It returns how many belong to the head, and whether that has ended; the error is ErrMalformed.
func (s *Scanner) Scan(p []byte) (n int, ended bool, err error) {
	for n < len(p) && s.at != atEnd {
		if s.at == inValue {
			n += s.skipValue(p[n:])
			continue
		}
		next, err := s.next(p[n])
		if err != nil {
			return n, false, err
		}
		s.at = next
		n++
	}
	return n, s.at == atEnd, nil
}

// Fields returns the number of fields that have begun.
func (s *Scanner) Fields() int { return s.fields }

// skipValue returns how many bytes belong to the value of a field and its line end. net/http checks the bytes.
func (s *Scanner) skipValue(p []byte) int {
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p)
	}
	s.at = atLineStart
	return end + 1
}

// IsInterim reports whether the head, which has ended, is followed by that of another response to the same request.
func (s *Scanner) IsInterim() bool {
	return s.status >= http.StatusContinue && s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// next returns the position after the byte.
func (s *Scanner) next(b byte) (position, error) {
	switch s.at {
	case inVersion:
		return s.afterVersion(b)
	case beforeStatus, inStatus:
		return s.afterStatus(b)
	case inReason:
		return afterReason(b)
	case atLineStart:
		s.matching = 0
		return s.afterLineStart(b)
	case inName:
		return s.afterName(b)
	case inHeadEnd:
		return afterCR(b, atEnd)
	default:
		return afterCR(b, atLineStart)
	}
}

func (s *Scanner) afterVersion(b byte) (position, error) {
	at := s.version
	s.version++
	switch {
	case at < len(majorVersion) && b == majorVersion[at]:
		return inVersion, nil
	case at == len(majorVersion) && isDigit(b):
		s.minorVersion = b
		return inVersion, nil
	case at > len(majorVersion) && b == ' ':
		return beforeStatus, nil
	default:
		return 0, errors.Wrapf(ErrMalformed, "byte %q in the version", b)
	}
}

// afterStatus returns the position after a byte of the status or of the blanks before it, which net/http skips.
func (s *Scanner) afterStatus(b byte) (position, error) {
	switch {
	case s.at == beforeStatus && b == ' ':
		return beforeStatus, nil
	case isDigit(b) && s.status <= maxStatus:
		s.status = 10*s.status + int(b-'0')
		return inStatus, nil
	default:
		return afterReason(b)
	}
}

func afterReason(b byte) (position, error) {
	switch {
	case b == '\r':
		return inLineEnd, nil
	case b == '\n':
		return atLineStart, nil
	case b == '\t' || b >= ' ' && b != del:
		return inReason, nil
	default:
		return 0, errors.Wrapf(ErrMalformed, "byte %q in the status line", b)
	}
}

// del is the control byte beyond the printable ones.
const del = 0x7f

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// maxStatus is the greatest status; more digits make a status that net/http rejects.
const maxStatus = 999

func (s *Scanner) afterLineStart(b byte) (position, error) {
	switch {
	case b == '\r':
		return inHeadEnd, nil
	case b == '\n':
		return atEnd, nil
	case isTokenByte(b):
		s.fields++
		s.match(b)
		return inName, nil
	default:
		return 0, errors.Wrapf(ErrMalformed, "line begins with byte %q", b)
	}
}

func (s *Scanner) afterName(b byte) (position, error) {
	switch {
	case b == ':' && s.matching == len(transferEncoding) && s.minorVersion == '0':
		return 0, errors.Wrap(ErrMalformed, "a transfer encoding in HTTP/1.0")
	case b == ':':
		return inValue, nil
	case isTokenByte(b):
		s.match(b)
		return inName, nil
	default:
		return 0, errors.Wrapf(ErrMalformed, "byte %q in the name of a field", b)
	}
}

// match compares the next byte of a field's name with transferEncoding.
func (s *Scanner) match(b byte) {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	if s.matching == noMatch || s.matching == len(transferEncoding) || b != transferEncoding[s.matching] {
		s.matching = noMatch
		return
	}
	s.matching++
}

// afterCR returns the position after the byte that follows a CR, which must be the LF.
func afterCR(b byte, next position) (position, error) {
	if b != '\n' {
		return 0, errors.Wrapf(ErrMalformed, "byte %q after CR", b)
	}
	return next, nil
}

// tokenBytes has the bytes that a token may have (RFC 9110, 5.6.2).
var tokenBytes = func() (allowed [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		allowed[b] = true
	}
	return allowed
}()

func isTokenByte(b byte) bool { return tokenBytes[b] }

// CheckTrailer checks the names of the fields that followed the body of the response, which must have been read to its end. The error is ErrMalformed.
func CheckTrailer(res *http.Response) error {
	if !HasOnlyTokens(res.Trailer) {
		return errors.Wrap(ErrMalformed, "trailer")
	}
	return nil
}

// HasOnlyTokens reports whether the names of all fields are ones that a field may have.
func HasOnlyTokens(h http.Header) bool {
	for name := range h {
		if !isToken(name) {
			return false
		}
	}
	return true
}

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}
