package call

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

var (
	_ msgpack.CustomEncoder = Unset
	_ msgpack.CustomDecoder = (*Outcome)(nil)
)

// Numbers of the outcomes in messages between daemons. They differ from the constants: daemons of earlier versions know these.
const (
	wireWhole uint64 = iota
	wireNotRun
	wireUnknown
)

// EncodeMsgpack writes the outcome's number; no outcome is written as Unknown.
func (o Outcome) EncodeMsgpack(enc *msgpack.Encoder) error {
	switch o {
	case Whole:
		return enc.EncodeUint(wireWhole)
	case NotRun:
		return enc.EncodeUint(wireNotRun)
	default:
		return enc.EncodeUint(wireUnknown)
	}
}

// DecodeMsgpack reads what EncodeMsgpack writes; nil and numbers that it doesn't know are no outcome.
func (o *Outcome) DecodeMsgpack(dec *msgpack.Decoder) error {
	*o = Unset
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if code == msgpcode.Nil {
		return dec.DecodeNil()
	}
	number, err := dec.DecodeUint64()
	if err != nil {
		return err
	}
	switch number {
	case wireWhole:
		*o = Whole
	case wireNotRun:
		*o = NotRun
	case wireUnknown:
		*o = Unknown
	}
	return nil
}
