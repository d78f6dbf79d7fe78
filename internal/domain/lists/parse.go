package lists

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// checker is a published value that can validate itself.
type checker interface {
	check(*faultList)
}

// Checked is a pointer to a published value of type T that can validate itself.
type Checked[T any] interface {
	*T
	checker
}

// Parse decodes and validates a value of type T; its error is of type Faults and holds every fault.
func Parse[T any, P Checked[T]](raw []byte) (*T, error) {
	if len(raw) > MaxBytes {
		return nil, Faults{{Place: "value", Text: fmt.Sprintf("is %d bytes, at most %d are allowed", len(raw), MaxBytes)}}
	}
	value := new(T)
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return nil, syntaxFaults(raw, dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, syntaxFaults(raw, dec.InputOffset(), errors.New("more text behind the value"))
	}
	f := &faultList{}
	P(value).check(f)
	if len(f.faults) > 0 {
		return nil, f.faults
	}
	return value, nil
}

// syntaxFaults returns the decoding error with its line.
func syntaxFaults(raw []byte, offset int64, err error) Faults {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		offset = typeErr.Offset
	}
	offset = min(offset, int64(len(raw)))
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return Faults{{Place: fmt.Sprintf("line %d", line), Text: err.Error()}}
}
