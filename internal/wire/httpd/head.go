package httpd

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

const (
	minFinalStatus = 200
	maxFinalStatus = 999
	// noLength means that a response states no length.
	noLength = -1
)

// framingHeaders say where a response ends and what becomes of its connection; only this package may write them.
var framingHeaders = map[string]bool{"Connection": true, "Content-Length": true, "Trailer": true, "Transfer-Encoding": true}

// hasBody reports whether responses with the status have a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// statedLength returns the body's length that the headers state, or noLength if they state none or an invalid one.
func statedLength(h http.Header) int64 {
	values := h["Content-Length"]
	if len(values) != 1 {
		return noLength
	}
	length, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return noLength
	}
	return int64(length)
}

// writeHead writes the status line and the headers, except those about the body's length and the connection.
func writeHead(out *bytes.Buffer, proto string, status int, h http.Header) {
	out.WriteString(proto + " " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	if len(h["Date"]) == 0 {
		out.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	for name, values := range h {
		if !isToken(name) || framingHeaders[textproto.CanonicalMIMEHeaderKey(name)] {
			continue
		}
		for _, value := range values {
			out.WriteString(name + ": " + fieldValue(value) + "\r\n")
		}
	}
}

// isToken reports whether a header may have the name.
func isToken(name string) bool {
	other := func(r rune) bool {
		isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		return !isLetter && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
	}
	return name != "" && strings.IndexFunc(name, other) < 0
}

// fieldValue returns the value with spaces in place of control characters: a line end would begin another header, or the body.
func fieldValue(value string) string {
	if strings.IndexFunc(value, isControl) < 0 {
		return textproto.TrimString(value)
	}
	raw := []byte(value)
	for n, c := range raw {
		if isControl(rune(c)) {
			raw[n] = ' '
		}
	}
	return textproto.TrimString(string(raw))
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }
