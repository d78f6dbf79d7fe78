package peer

import (
	"encoding"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/wire/bounded"
)

// A message can be encoded in two ways: by name, as maps from field names to values, or by position, as lists of values. By position takes
// less than half of the bytes of a small message, but both sides must have the same fields: the decoder rejects a list that is longer or
// shorter than its type. Each side therefore announces the layouts of its messages when a link is opened. A message goes by position only if
// the other side has announced the same layout for it, and by name otherwise, where unknown fields are ignored and missing ones are zero.
// Daemons of earlier releases ignore the announcement and make none, and so receive all messages by name.

// layouts are the layouts of the request and the response of one kind; 0 stands for unknown.
type layouts struct {
	Request  uint64
	Response uint64
}

// announcement has the layouts of all kinds that a node handles.
type announcement map[Kind]layouts

// WithoutPositions encodes all messages by name.
func WithoutPositions() Option { return func(n *Node) { n.announced = nil } }

// announce sends the layouts of this node's messages. Without them, the other side sends by name, so a failure needs no handling.
func (l *link) announce() {
	announced := l.node.announced
	if announced == nil && !l.node.withoutOffers {
		announced = announcement{KindOffer: {Request: offerVersion}}
	}
	if len(announced) == 0 {
		return
	}
	payload, err := encode(announced, byName)
	if err != nil {
		return
	}
	oneWay := frame{form: formOneWay, kind: KindLayouts, payload: payload}
	_, _ = l.write(oneWay.encode(), nil)
}

// receiveAnnouncement records the layouts of the other side. An announcement that can't be decoded, as a later release may send it, is
// ignored. Links to nodes of the same release share the layouts of their node, since a daemon may have thousands of links.
func (l *link) receiveAnnouncement(payload []byte) {
	defer l.markAnnounced()
	var received announcement
	if msgpack.Unmarshal(payload, &received) != nil {
		return
	}
	l.offers.Store(received[KindOffer].Request != 0)
	if l.node.announced == nil {
		return
	}
	if maps.Equal(received, l.node.announced) {
		l.announced.Store(&l.node.announced)
		return
	}
	l.announced.Store(&received)
}

// remoteLayouts returns what the other side has announced for a kind; zero if nothing.
func (l *link) remoteLayouts(kind Kind) layouts {
	if received := l.announced.Load(); received != nil {
		return (*received)[kind]
	}
	return layouts{}
}

// encodingFor returns the encoding of messages of type T for a node that has announced the layout.
func encodingFor[T any](announced uint64) encodingForm {
	if announced != 0 && announced == layoutOf[T]() {
		return byPosition
	}
	return byName
}

// encodingForm is how the fields of structs are encoded.
type encodingForm uint8

const (
	byName encodingForm = iota
	byPosition
)

// knownLayouts has the layouts computed so far, by type.
var knownLayouts sync.Map

// layoutOf returns a hash of all that the encoding of T by position depends on: the names, order and kinds of the fields, at any depth. A
// type that encodes itself counts by its name, so it must get another name when its encoding changes.
func layoutOf[T any]() uint64 {
	t := reflect.TypeFor[T]()
	if known, ok := knownLayouts.Load(t); ok {
		return known.(uint64)
	}
	var description strings.Builder
	describe(&description, t, nil)
	layout := max(xxhash.Sum64String(description.String()), 1)
	knownLayouts.Store(t, layout)
	return layout
}

// describe appends the description of a type; within are the structs that contain it.
func describe(out *strings.Builder, t reflect.Type, within []reflect.Type) {
	if encodesItself(t) || slices.Contains(within, t) {
		out.WriteString(t.String())
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		describeFields(out, t, append(within, t))
	case reflect.Map:
		out.WriteString("map ")
		describe(out, t.Key(), within)
		out.WriteByte(' ')
		describe(out, t.Elem(), within)
	case reflect.Slice, reflect.Array, reflect.Pointer:
		fmt.Fprintf(out, "%s ", t.Kind())
		describe(out, t.Elem(), within)
	default:
		out.WriteString(t.Kind().String())
	}
}

func describeFields(out *strings.Builder, t reflect.Type, within []reflect.Type) {
	out.WriteByte('{')
	for i := range t.NumField() {
		field := t.Field(i)
		if !field.IsExported() && !field.Anonymous {
			continue
		}
		fmt.Fprintf(out, "%s %q ", field.Name, field.Tag.Get("msgpack"))
		describe(out, field.Type, within)
		out.WriteByte(';')
	}
	out.WriteByte('}')
}

// selfEncoding are the interfaces of types that the encoder doesn't encode field by field.
var selfEncoding = []reflect.Type{
	reflect.TypeFor[msgpack.CustomEncoder](), reflect.TypeFor[msgpack.Marshaler](),
	reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[encoding.TextMarshaler](),
}

func encodesItself(t reflect.Type) bool {
	for _, i := range selfEncoding {
		if t.Implements(i) || reflect.PointerTo(t).Implements(i) {
			return true
		}
	}
	return false
}

// encodeFor encodes a request for the other side of a link.
func encodeFor[T any](l *link, kind Kind, value T) (frame, error) {
	f, err := encodeMessage(l, value, encodingFor[T](l.remoteLayouts(kind).Request))
	f.kind = kind
	if err != nil {
		return frame{}, errors.Wrapf(ErrNotSent, "encode %s: %v", kind, err)
	}
	return f, nil
}

// encodeMessage returns the frame of a message, with a large body beside the payload if the other side answers offers.
func encodeMessage[T any](l *link, value T, form encodingForm) (frame, error) {
	var f frame
	if bulky, ok := any(&value).(Bulky); ok {
		body, hold := bulky.Bulk()
		f.hold = *hold
		switch {
		case len(*body) <= pieceSize:
		case l.answersOffers():
			f.body, *body = *body, nil
		case f.hold == nil:
			// The encoded copy of a request's body, which its sender holds until it is answered.
			f.hold = l.node.account.Take(bounded.FleetMessage, netip.Addr{}, int64(len(*body)))
		}
	}
	var err error
	if f.payload, err = encode(value, form); err != nil {
		f.hold.Release()
	}
	return f, err
}

// decodeMessage returns the message of a frame. One that isn't bulky holds no memory any more. Small responses are counted; whether there is memory
// for a small request is for its handler to find out.
func decodeMessage[T any](l *link, f *frame) (T, error) {
	var value T
	err := msgpack.Unmarshal(f.payload, &value)
	bulky, ok := any(&value).(Bulky)
	if !ok || err != nil {
		f.hold.Release()
		return value, err
	}
	body, hold := bulky.Bulk()
	if len(f.body) > 0 {
		*body = f.body
	}
	if f.hold == nil && f.form == formResponse && len(*body) > 0 {
		f.hold = l.node.account.Take(bounded.CallerResponse, netip.Addr{}, int64(len(*body)))
	}
	*hold = f.hold
	f.payload, f.body = nil, nil
	return value, nil
}
