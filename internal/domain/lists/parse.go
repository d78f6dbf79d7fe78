package lists

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// checked is a published value that knows its own rules.
type checked interface {
	check(*faults)
}

// Checked is a pointer to a published value of type T.
type Checked[T any] interface {
	*T
	checked
}

// Parse reads a value of type T and returns it, or Faults with everything that is wrong with it.
func Parse[T any, P Checked[T]](raw []byte) (*T, error) {
	if len(raw) > MaxBytes {
		return nil, Faults{{Place: "value", Text: fmt.Sprintf("is %d bytes, at most %d are allowed", len(raw), MaxBytes)}}
	}
	value := new(T)
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return nil, unreadable(raw, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, unreadable(raw, dec.InputOffset(), errors.New("more text behind the value"))
	}
	f := &faults{}
	P(value).check(f)
	if len(f.list) > 0 {
		return nil, f.list
	}
	return value, nil
}

func unreadable(raw []byte, offset int64, err error) Faults {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		offset = typed.Offset
	}
	offset = min(offset, int64(len(raw)))
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return Faults{{Place: fmt.Sprintf("line %d", line), Text: err.Error()}}
}
