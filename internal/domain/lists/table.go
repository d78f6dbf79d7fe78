package lists

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"
)

// span is the position of an entry in a value's text, as byte offsets.
type span struct {
	start, end int32
}

// checkedEntry is an entry that can validate itself.
type checkedEntry[E any] interface {
	*E
	check(entryRef)
	// appendHashes appends a hash of each field that must be unique among all entries.
	appendHashes(hashes []uint64) []uint64
}

// table is a value that consists of one array, with the position of each entry in its text.
//
// A change to one key alters about a hundred bytes of a list of up to a megabyte.
// Decoding the whole list each time takes tens of milliseconds of a core and allocates ten times its size,
// on every daemon of the fleet. With the positions of the entries, only those between
// the unchanged prefix and the unchanged suffix are decoded.
type table[E any, P checkedEntry[E]] struct {
	entries []E
	spans   []span
	// arrayStart is the offset after the array's opening bracket, arrayEnd the offset of its closing bracket.
	arrayStart, arrayEnd int
	// hashes holds the hashes of the unique fields of all entries; nil if the table was not read from a text.
	hashes map[uint64]struct{}
}

// errNotTable means that a text is not an object with one array of unique entries; Parse decides whether it is valid.
var errNotTable = errors.New("lists: not a table")

// read decodes the whole text of a table whose array has the given field name.
// After any error, Parse decides whether the text is valid.
func (t *table[E, P]) read(raw []byte, field string) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	for _, want := range []json.Token{json.Delim('{'), field, json.Delim('[')} {
		if got, err := dec.Token(); err != nil || got != want {
			return errNotTable
		}
	}
	t.arrayStart = int(dec.InputOffset())
	t.reserve(bytes.Count(raw, []byte{'{'}), len(raw))
	t.hashes = make(map[uint64]struct{}, 2*cap(t.entries))
	if err := t.readEntries(dec, raw, 0); err != nil {
		return err
	}
	t.arrayEnd = int(dec.InputOffset()) - 1
	if got, err := dec.Token(); err != nil || got != json.Delim('}') {
		return errNotTable
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errNotTable
	}
	return t.checkAll()
}

// minEntryLength is the length of a short entry, in bytes; it limits what is allocated for a text that consists of brackets.
const minEntryLength = 48

// reserve allocates the slices for a text with the given number of opening brackets, including the value's own.
// Slices that grow while they are filled would leave twice the list as garbage.
func (t *table[E, P]) reserve(brackets, size int) {
	count := min(brackets-1, size/minEntryLength)
	t.entries, t.spans = make([]E, 0, count), make([]span, 0, count)
}

// readEntries decodes the entries and the closing bracket; base is added to the entries' offsets.
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

func skipSeparators(text []byte, offset int) int {
	for offset < len(text) && (isBlank(text[offset]) || text[offset] == ',') {
		offset++
	}
	return offset
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// checkAll validates all entries of a text that was decoded as a whole, and stores their hashes.
func (t *table[E, P]) checkAll() error {
	if err := checkEach[E, P](t.entries); err != nil {
		return err
	}
	var hashes []uint64
	for i := range t.entries {
		hashes = P(&t.entries[i]).appendHashes(hashes[:0])
		for _, hash := range hashes {
			if _, duplicate := t.hashes[hash]; duplicate {
				return errNotTable
			}
			t.hashes[hash] = struct{}{}
		}
	}
	return nil
}

func checkEach[E any, P checkedEntry[E]](entries []E) error {
	f := &faultList{}
	for i := range entries {
		P(&entries[i]).check(f.entry("entry", i))
	}
	if len(f.faults) > 0 {
		return f.faults
	}
	return nil
}

// checkChange validates the added entries, also against those that stay, and updates the hashes.
func (t *table[E, P]) checkChange(added, removed []E) error {
	removedHashes := hashesOf[E, P](removed)
	addedHashes := hashesOf[E, P](added)
	if err := checkEach[E, P](added); err != nil {
		return err
	}
	if !t.unique(addedHashes, removedHashes) {
		return errNotTable
	}
	for _, hash := range removedHashes {
		delete(t.hashes, hash)
	}
	for _, hash := range addedHashes {
		t.hashes[hash] = struct{}{}
	}
	return nil
}

func hashesOf[E any, P checkedEntry[E]](entries []E) []uint64 {
	var all []uint64
	for i := range entries {
		all = P(&entries[i]).appendHashes(all)
	}
	return all
}

// unique reports whether the added hashes differ from each other and from those that stay.
// On a hash collision it returns false; the whole value is decoded then, which compares the fields themselves.
func (t *table[E, P]) unique(added, removed []uint64) bool {
	isRemoved := make(map[uint64]bool, len(removed))
	for _, hash := range removed {
		isRemoved[hash] = true
	}
	seen := make(map[uint64]bool, len(added))
	for _, hash := range added {
		_, present := t.hashes[hash]
		if seen[hash] || (present && !isRemoved[hash]) {
			return false
		}
		seen[hash] = true
	}
	return true
}

// change returns the table of the text after; it decodes only what differs from the text before, which must be this
// table's own. After any error, the text must be decoded as a whole.
//
// A JSON decoder reads the same bytes in both texts up to the last entry of the common prefix, and from the first
// entry of the common suffix on. So the text after is valid if the text between them is a sequence of entries.
func (t *table[E, P]) change(before, after []byte) (*table[E, P], error) {
	if t.hashes == nil {
		return nil, errNotTable
	}
	change, ok := t.diff(before, after)
	if !ok {
		return nil, errNotTable
	}
	entriesText, offset, ok := change.changedText(after)
	if !ok {
		return nil, errNotTable
	}
	text := append(append([]byte{'['}, entriesText...), ']')
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if _, err := dec.Token(); err != nil {
		return nil, err
	}
	var changed table[E, P]
	if err := changed.readEntries(dec, text, offset-1); err != nil {
		return nil, err
	}
	if int(dec.InputOffset()) != len(text) {
		return nil, errNotTable
	}
	if err := t.checkChange(changed.entries, t.entries[change.first:change.last]); err != nil {
		return nil, err
	}
	return t.splice(&changed, change), nil
}

// splice returns the table with the changed entries in place of those that the change replaces.
func (t *table[E, P]) splice(changed *table[E, P], c textChange) *table[E, P] {
	count := c.first + len(changed.entries) + len(t.entries) - c.last
	out := &table[E, P]{
		entries: make([]E, 0, count), spans: make([]span, 0, count),
		arrayStart: t.arrayStart, arrayEnd: t.arrayEnd + c.shift, hashes: t.hashes,
	}
	out.entries = append(append(append(out.entries, t.entries[:c.first]...), changed.entries...), t.entries[c.last:]...)
	out.spans = append(append(out.spans, t.spans[:c.first]...), changed.spans...)
	for _, s := range t.spans[c.last:] {
		out.spans = append(out.spans, span{s.start + int32(c.shift), s.end + int32(c.shift)})
	}
	return out
}

// textChange describes which part of a table's text has changed.
type textChange struct {
	// The entries from first up to, but not including, last are replaced.
	first, last int
	// The replacing text is at the offsets begin to end of the text after the change.
	begin, end int
	// shift is the growth of the text, in bytes.
	shift               int
	hasBefore, hasAfter bool
}

// diff returns the difference of the two texts, or false if more than entries differ.
func (t *table[E, P]) diff(before, after []byte) (textChange, bool) {
	prefix, suffix := CommonPrefixSuffix(before, after)
	suffixStart := len(before) - suffix
	c := textChange{shift: len(after) - len(before), begin: t.arrayStart, end: t.arrayEnd}
	c.first = sort.Search(len(t.spans), func(i int) bool { return int(t.spans[i].end) > prefix })
	c.last = max(c.first, sort.Search(len(t.spans), func(i int) bool { return int(t.spans[i].start) >= suffixStart }))
	c.hasBefore, c.hasAfter = c.first > 0, c.last < len(t.spans)
	if c.hasBefore {
		c.begin = int(t.spans[c.first-1].end)
	}
	if c.hasAfter {
		c.end = int(t.spans[c.last].start)
	}
	if c.begin > prefix || c.end < suffixStart {
		return c, false
	}
	c.end += c.shift
	return c, true
}

// changedText returns the changed text without the commas that separate it from the entries
// before and after it, and its offset; false means that a comma is missing or misplaced.
func (c textChange) changedText(after []byte) (text []byte, offset int, ok bool) {
	offset, end := c.begin, c.end
	for offset < end && isBlank(after[offset]) {
		offset++
	}
	for offset < end && isBlank(after[end-1]) {
		end--
	}
	if offset == end {
		return nil, offset, !c.hasBefore || !c.hasAfter
	}
	if c.hasBefore {
		if after[offset] != ',' {
			return nil, offset, false
		}
		offset++
		if offset == end {
			return nil, offset, c.hasAfter
		}
	}
	if c.hasAfter {
		end--
		if after[end] != ',' || offset == end {
			return nil, offset, false
		}
	}
	return after[offset:end], offset, true
}

// compareBlock is the number of bytes compared in one step.
const compareBlock = 256

// CommonPrefixSuffix returns the lengths of the common prefix of two texts and of the common suffix of the rest, in bytes.
func CommonPrefixSuffix(a, b []byte) (prefix, suffix int) {
	maxPrefix := min(len(a), len(b))
	for prefix+compareBlock <= maxPrefix && bytes.Equal(a[prefix:prefix+compareBlock], b[prefix:prefix+compareBlock]) {
		prefix += compareBlock
	}
	for prefix < maxPrefix && a[prefix] == b[prefix] {
		prefix++
	}
	maxSuffix := maxPrefix - prefix
	for suffix+compareBlock <= maxSuffix && bytes.Equal(suffixBlock(a, suffix), suffixBlock(b, suffix)) {
		suffix += compareBlock
	}
	for suffix < maxSuffix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// suffixBlock returns the block of text before its last suffix bytes.
func suffixBlock(text []byte, suffix int) []byte {
	end := len(text) - suffix
	return text[end-compareBlock : end]
}
