package router

import (
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

// headerFields is an HTTP header in a message between daemons. It encodes itself, since reflection over a map of slices is most of the cost of
// the messages of each request; the encoding is the same.
type headerFields http.Header

var (
	_ msgpack.CustomEncoder = headerFields{}
	_ msgpack.CustomDecoder = (*headerFields)(nil)
)

// EncodeMsgpack writes a map from names to lists of values, or nil.
func (h headerFields) EncodeMsgpack(enc *msgpack.Encoder) error {
	if h == nil {
		return enc.EncodeNil()
	}
	if err := enc.EncodeMapLen(len(h)); err != nil {
		return err
	}
	for name, values := range h {
		if err := enc.EncodeString(name); err != nil {
			return err
		}
		if err := encodeValues(enc, values); err != nil {
			return err
		}
	}
	return nil
}

func encodeValues(enc *msgpack.Encoder, values []string) error {
	if values == nil {
		return enc.EncodeNil()
	}
	if err := enc.EncodeArrayLen(len(values)); err != nil {
		return err
	}
	for _, value := range values {
		if err := enc.EncodeString(value); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack reads what EncodeMsgpack writes.
func (h *headerFields) DecodeMsgpack(dec *msgpack.Decoder) error {
	count, err := dec.DecodeMapLen()
	if err != nil || count < 0 {
		*h = nil
		return err
	}
	expected := min(count, maxPreallocatedFields)
	*h = make(headerFields, expected)
	// Nearly all names have one value, and all of these share one allocation.
	values := make([]string, 0, expected)
	for range count {
		name, err := dec.DecodeString()
		if err != nil {
			return err
		}
		first := len(values)
		if values, err = decodeValues(dec, values); err != nil {
			return err
		}
		(*h)[name] = values[first:len(values):len(values)]
	}
	return nil
}

// decodeValues reads a list of values and appends them to the others.
func decodeValues(dec *msgpack.Decoder, values []string) ([]string, error) {
	count, err := dec.DecodeArrayLen()
	for n := 0; err == nil && n < count; n++ {
		var value string
		value, err = dec.DecodeString()
		values = append(values, value)
	}
	return values, err
}

// maxPreallocatedFields bounds the fields for which memory is allocated before they are read.
const maxPreallocatedFields = 64
