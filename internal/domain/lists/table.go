package lists

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// span is the place of an entry in a value's text, as offsets in bytes.
type span struct {
	start, end int32
}

// ruled is an entry that knows its own rules.
type ruled[E any] interface {
	*E
	check(place)
	// marks appends a hash for each thing that no other entry may share.
	marks(into []uint64) []uint64
}

// table is a value that holds one array, with the place of each entry in its text.
//
// A change to one key alters some hundred bytes of a list of up to a megabyte.
// Read as a whole each time it costs tens of milliseconds of a core and ten times its size in garbage,
// on every daemon of the fleet. With the places of the entries only those between
// the unchanged beginning and the unchanged end are read.
type table[E any, P ruled[E]] struct {
	entries []E
	spans   []span
	// open is the offset behind the array's bracket, end that of its closing one.
	open, end int
	// marks holds those of all entries; nil where the table has not been read from a text.
	marks map[uint64]struct{}
}

// errForm means that a text isn't one object with the one array; the whole value's own reading judges it.
var errForm = errors.New("lists: not a table")

// read reads the whole text of a table whose array has the given field name.
// Any error means that the text must be judged by Parse.
func (t *table[E, P]) read(raw []byte, field string) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	for _, want := range []json.Token{json.Delim('{'), field, json.Delim('[')} {
		if got, err := dec.Token(); err != nil || got != want {
			return errForm
		}
	}
	t.open = int(dec.InputOffset())
	t.reserve(bytes.Count(raw, []byte{'{'}), len(raw))
	t.marks = make(map[uint64]struct{}, 2*cap(t.entries))
	if err := t.readEntries(dec, raw, 0); err != nil {
		return err
	}
	t.end = int(dec.InputOffset()) - 1
	if got, err := dec.Token(); err != nil || got != json.Delim('}') {
		return errForm
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errForm
	}
	return t.judgeAll()
}

// leastEntry is the length of a short entry, in bytes; it bounds what a text of brackets alone reserves.
const leastEntry = 48

// reserve makes room for the entries of a text with so many opening brackets, the value's own among them:
// slices that grow while they are filled leave twice the list behind.
func (t *table[E, P]) reserve(brackets, size int) {
	count := min(brackets-1, size/leastEntry)
	t.entries, t.spans = make([]E, 0, count), make([]span, 0, count)
}

// readEntries reads the entries and the bracket behind them; base is added to their places.
func (t *table[E, P]) readEntries(dec *json.Decoder, text []byte, base int) error {
	for dec.More() {
		start := skipSeparators(text, int(dec.InputOffset()))
		var entry E
		if err := dec.Decode(&entry); err != nil {
			return err
		}
		t.entries = append(t.entries, entry)
		t.spans = append(t.spans, span{int32(base + start), int32(base + int(dec.InputOffset()))})
	}
	_, err := dec.Token()
	return err
}

func skipSeparators(text []byte, at int) int {
	for at < len(text) && (isBlank(text[at]) || text[at] == ',') {
		at++
	}
	return at
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// judgeAll checks all entries of a text that was read as a whole, and takes over their marks.
func (t *table[E, P]) judgeAll() error {
	if err := checkEach[E, P](t.entries); err != nil {
		return err
	}
	var few []uint64
	for i := range t.entries {
		few = P(&t.entries[i]).marks(few[:0])
		for _, m := range few {
			if _, there := t.marks[m]; there {
				return errForm
			}
			t.marks[m] = struct{}{}
		}
	}
	return nil
}

func checkEach[E any, P ruled[E]](entries []E) error {
	f := &faults{}
	for i := range entries {
		P(&entries[i]).check(f.at("entry", i))
	}
	if len(f.list) > 0 {
		return f.list
	}
	return nil
}

// judge checks the added entries by themselves and against all that stay, and takes over their marks.
func (t *table[E, P]) judge(added, removed []E) error {
	gone := marksOf[E, P](removed)
	fresh := marksOf[E, P](added)
	if err := checkEach[E, P](added); err != nil {
		return err
	}
	if !t.unique(fresh, gone) {
		return errForm
	}
	for _, m := range gone {
		delete(t.marks, m)
	}
	for _, m := range fresh {
		t.marks[m] = struct{}{}
	}
	return nil
}

func marksOf[E any, P ruled[E]](entries []E) []uint64 {
	var all []uint64
	for i := range entries {
		all = P(&entries[i]).marks(all)
	}
	return all
}

// unique reports whether the fresh marks differ from each other and from those that stay.
// Two things with the same hash look like one; then the whole value is read, which tells.
func (t *table[E, P]) unique(fresh, gone []uint64) bool {
	leaving := make(map[uint64]bool, len(gone))
	for _, m := range gone {
		leaving[m] = true
	}
	seen := make(map[uint64]bool, len(fresh))
	for _, m := range fresh {
		_, there := t.marks[m]
		if seen[m] || (there && !leaving[m]) {
			return false
		}
		seen[m] = true
	}
	return true
}

// change returns the table of the text after, of which it reads what differs from the text before, its own.
// Any error means that the text must be judged as a whole.
//
// Up to the last entry of the common beginning a reader of JSON has seen the
// same bytes in both texts, and from the first entry of the common end on it
// will; so both texts are sound alike if what lies between is a row of entries.
func (t *table[E, P]) change(before, after []byte) (*table[E, P], error) {
	if t.marks == nil {
		return nil, errForm
	}
	c, ok := t.compare(before, after)
	if !ok {
		return nil, errForm
	}
	row, at, ok := c.row(after)
	if !ok {
		return nil, errForm
	}
	text := append(append([]byte{'['}, row...), ']')
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	var middle table[E, P]
	if err := middle.readEntries(dec, text, at-1); err != nil {
		return nil, err
	}
	if int(dec.InputOffset()) != len(text) {
		return nil, errForm
	}
	if err := t.judge(middle.entries, t.entries[c.first:c.last]); err != nil {
		return nil, err
	}
	return t.splice(&middle, c), nil
}

func (t *table[E, P]) splice(middle *table[E, P], c cut) *table[E, P] {
	count := c.first + len(middle.entries) + len(t.entries) - c.last
	out := &table[E, P]{
		entries: make([]E, 0, count), spans: make([]span, 0, count),
		open: t.open, end: t.end + c.shift, marks: t.marks,
	}
	out.entries = append(append(append(out.entries, t.entries[:c.first]...), middle.entries...), t.entries[c.last:]...)
	out.spans = append(append(out.spans, t.spans[:c.first]...), middle.spans...)
	for _, s := range t.spans[c.last:] {
		out.spans = append(out.spans, span{s.start + int32(c.shift), s.end + int32(c.shift)})
	}
	return out
}

// cut tells which part of a table's text has changed.
type cut struct {
	// Entries from first up to last are replaced.
	first, last int
	// The text that replaces them lies from begin to end of the later value.
	begin, end int
	// shift is by how much the later value is longer, in bytes.
	shift          int
	before, behind bool
}

// compare returns what differs between the two texts, or false where it is more than entries.
func (t *table[E, P]) compare(before, after []byte) (cut, bool) {
	prefix, suffix := CommonEnds(before, after)
	same := len(before) - suffix
	c := cut{shift: len(after) - len(before), begin: t.open, end: t.end}
	c.first = sort.Search(len(t.spans), func(i int) bool { return int(t.spans[i].end) > prefix })
	c.last = max(c.first, sort.Search(len(t.spans), func(i int) bool { return int(t.spans[i].start) >= same }))
	c.before, c.behind = c.first > 0, c.last < len(t.spans)
	if c.before {
		c.begin = int(t.spans[c.first-1].end)
	}
	if c.behind {
		c.end = int(t.spans[c.last].start)
	}
	if c.begin > prefix || c.end < same {
		return c, false
	}
	c.end += c.shift
	return c, true
}

// row returns the changed text without the commas that part it from the entries
// before and behind it, and its offset; false means that these commas aren't as they must be.
func (c cut) row(after []byte) (text []byte, at int, ok bool) {
	at, end := c.begin, c.end
	for at < end && isBlank(after[at]) {
		at++
	}
	for at < end && isBlank(after[end-1]) {
		end--
	}
	if at == end {
		return nil, at, !c.before || !c.behind
	}
	if c.before {
		if after[at] != ',' {
			return nil, at, false
		}
		at++
		if at == end {
			return nil, at, c.behind
		}
	}
	if c.behind {
		end--
		if after[end] != ',' || at == end {
			return nil, at, false
		}
	}
	return after[at:end], at, true
}

// compared is how many bytes are compared at once.
const compared = 256

// CommonEnds returns how many bytes two texts have in common at the beginning and, behind these, at the end.
func CommonEnds(a, b []byte) (prefix, suffix int) {
	shorter := min(len(a), len(b))
	for prefix+compared <= shorter && bytes.Equal(a[prefix:prefix+compared], b[prefix:prefix+compared]) {
		prefix += compared
	}
	for prefix < shorter && a[prefix] == b[prefix] {
		prefix++
	}
	left := shorter - prefix
	for suffix+compared <= left && bytes.Equal(tail(a, suffix), tail(b, suffix)) {
		suffix += compared
	}
	for suffix < left && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

func tail(text []byte, suffix int) []byte {
	end := len(text) - suffix
	return text[end-compared : end]
}
