package telemetry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// formatter writes an entry as one JSON object with sorted keys, like
// logrus.JSONFormatter, but without reflection for the plain values that the
// line of a decision consists of.
//
// Every decision is logged, also at 2,000 calls/s, and encoding is nearly the
// whole cost of a line.
type formatter struct{}

// Fields that every line has.
const (
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldTime    = "time"
)

// Format returns the entry's line; the error is always nil, since a value without a JSON encoding is written as text.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	keys := make([]string, 0, len(e.Data))
	for k := range e.Data {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	line := make([]byte, 0, lineCapacity)
	line = append(line, '{')
	for _, k := range keys {
		line = appendText(line, uniqueKey(k))
		line = append(line, ':')
		line = appendValue(line, e.Data[k])
		line = append(line, ',')
	}
	line = appendField(line, fieldLevel, e.Level.String())
	line = append(line, ',')
	line = appendField(line, fieldMessage, e.Message)
	line = append(line, ',')
	line = appendField(line, fieldTime, e.Time.Format(time.RFC3339Nano))
	return append(line, '}', '\n'), nil
}

// lineCapacity is enough bytes for the line of a decision without growing the slice.
const lineCapacity = 512

// uniqueKey renames a field whose key every line already has.
func uniqueKey(key string) string {
	switch key {
	case fieldLevel, fieldMessage, fieldTime:
		return "fields." + key
	default:
		return key
	}
}

func appendField(line []byte, key, value string) []byte {
	line = append(line, '"')
	line = append(line, key...)
	line = append(line, '"', ':')
	return appendText(line, value)
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case error:
		return appendText(line, v.Error())
	default:
		return appendJSON(line, v)
	}
}

// appendJSON appends the JSON encoding of a value, or its text if it has none.
func appendJSON(line []byte, value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		return appendText(line, fmt.Sprint(value))
	}
	return append(line, raw...)
}

func appendText(line []byte, s string) []byte {
	if isPlain(s) {
		line = append(line, '"')
		line = append(line, s...)
		return append(line, '"')
	}
	raw, _ := json.Marshal(s) // a string always has an encoding.
	return append(line, raw...)
}

// isPlain reports whether the text needs no escaping in JSON.
func isPlain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
