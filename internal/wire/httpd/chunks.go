package httpd

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// chunkReader reads a body in chunks (RFC 9112, section 7.1) from bytes that arrive in any parts.
type chunkReader struct {
	state chunkState
	// line has the beginning of a line whose end has not arrived.
	line []byte
	// left is how many bytes of the current chunk have not arrived.
	left uint64
	// maxTrailer bounds the trailer, trailerBytes is the size of what arrived of it.
	maxTrailer   int
	trailerBytes int
}

type chunkState uint8

const (
	inChunkSize chunkState = iota
	inChunkData
	afterChunkData
	inTrailer
)

// maxChunkLine bounds the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 4 << 10

var errChunk = errors.New("http: malformed chunk")

// read passes the parts of the body to emit. When the body is complete, it returns what follows it. The fields of a trailer are checked and left out.
func (c *chunkReader) read(data []byte, emit func([]byte) error) (rest []byte, done bool, err error) {
	for len(data) > 0 {
		if c.state == inChunkData {
			n := int(min(uint64(len(data)), c.left))
			if err := emit(data[:n]); err != nil {
				return nil, false, err
			}
			data, c.left = data[n:], c.left-uint64(n)
			if c.left == 0 {
				c.state = afterChunkData
			}
			continue
		}
		var line []byte
		var whole bool
		if line, data, whole, err = c.readLine(data); err != nil || !whole {
			return nil, false, err
		}
		if done, err = c.endLine(line); err != nil || done {
			return data, done, err
		}
	}
	return nil, false, nil
}

// readLine returns the next line without its end, once it is whole.
func (c *chunkReader) readLine(data []byte) (line, rest []byte, whole bool, err error) {
	end := bytes.IndexByte(data, '\n')
	part := data[:end+1]
	if end < 0 {
		part = data
	}
	if len(c.line)+len(part) > c.maxLine() {
		return nil, nil, false, errors.Wrap(errChunk, "line too long")
	}
	c.line = append(c.line, part...)
	if end < 0 {
		return nil, nil, false, nil
	}
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, false, errors.Wrap(errChunk, "line end")
	}
	c.line = c.line[:0]
	return line, data[end+1:], true, nil
}

func (c *chunkReader) maxLine() int {
	if c.state == inTrailer {
		return max(c.maxTrailer-c.trailerBytes, len("\r\n"))
	}
	return maxChunkLine
}

// endLine handles a whole line and reports whether the body ends with it.
func (c *chunkReader) endLine(line []byte) (done bool, err error) {
	switch c.state {
	case afterChunkData:
		if len(line) > 0 {
			return false, errors.Wrap(errChunk, "longer than its size")
		}
		c.state = inChunkSize
	case inTrailer:
		c.trailerBytes += len(line)
		if name, _, ok := bytes.Cut(line, []byte(":")); len(line) > 0 && (!ok || !isToken(string(name))) {
			return false, errors.Wrap(errChunk, "trailer field")
		}
		return len(line) == 0, nil
	case inChunkSize:
		return false, c.beginChunk(line)
	case inChunkData:
	}
	return false, nil
}

func (c *chunkReader) beginChunk(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || digits[0] == '+' {
		return errors.Wrap(errChunk, "size")
	}
	c.left, c.state = size, inChunkData
	if size == 0 {
		c.state = inTrailer
	}
	return nil
}
