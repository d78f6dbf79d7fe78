package draft

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Line returns the line, counted from 1, of a fault's place, such as
// keys[2].sha256 or "line 4"; 0 means that the line is unknown.
func Line(raw []byte, place string) int {
	line := 0
	if n, _ := fmt.Sscanf(place, "line %d", &line); n == 1 {
		return line
	}
	list, rest, ok := strings.Cut(place, "[")
	if !ok {
		return 0
	}
	index := 0
	if n, _ := fmt.Sscanf(rest, "%d]", &index); n != 1 {
		return 0
	}
	_, field, _ := strings.Cut(rest, "].")
	begin, end := elementRange(raw, list, index)
	if end == 0 {
		return 0
	}
	if offset := bytes.Index(raw[begin:end], []byte(`"`+field+`"`)); field != "" && offset >= 0 {
		begin += offset
	}
	return 1 + bytes.Count(raw[:begin], []byte("\n"))
}

// elementRange returns the byte range of one element of a top-level array; end is 0 if there is no such element.
func elementRange(raw []byte, list string, index int) (begin, end int) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		return 0, 0
	}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return 0, 0
		}
		if name == list {
			return nthRange(dec, index)
		}
		var skipped json.RawMessage
		if dec.Decode(&skipped) != nil {
			return 0, 0
		}
	}
	return 0, 0
}

func nthRange(dec *json.Decoder, index int) (begin, end int) {
	if _, err := dec.Token(); err != nil {
		return 0, 0
	}
	var entry json.RawMessage
	for i := 0; dec.More(); i++ {
		if dec.Decode(&entry) != nil {
			return 0, 0
		}
		if i == index {
			end = int(dec.InputOffset())
			return end - len(entry), end
		}
	}
	return 0, 0
}
