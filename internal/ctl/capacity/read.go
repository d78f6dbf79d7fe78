package capacity

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Role is what a daemon does for the others.
type Role string

// Roles in the order of the table. A daemon that has several counts with the first of them.
const (
	FleetCollector Role = "fleet's collector"
	GroupCollector Role = "group's collector"
	Reader         Role = "reader"
	Seed           Role = "seed"
	Daemon         Role = "daemon"
)

// Roles are all roles in the order of the table.
var Roles = []Role{FleetCollector, GroupCollector, Reader, Seed, Daemon}

// line has the fields of a daemon's log lines that are read here.
type line struct {
	Message string    `json:"msg"`
	Time    time.Time `json:"time"`
	Version uint64    `json:"version"`
	usage
}

// usage is what a daemon has used since its start.
type usage struct {
	Collects          string  `json:"collects"`
	Reader            bool    `json:"reader"`
	Seed              bool    `json:"seed"`
	UpMs              float64 `json:"upMs"`
	CPUMs             float64 `json:"cpuMs"`
	MemoryKB          float64 `json:"memoryKb"`
	StoreCalls        float64 `json:"storeCalls"`
	Heartbeats        float64 `json:"heartbeats"`
	ControlSentKB     float64 `json:"controlSentKb"`
	ControlReceivedKB float64 `json:"controlReceivedKb"`
	SentKB            float64 `json:"sentKb"`
	ReceivedKB        float64 `json:"receivedKb"`
	Connections       float64 `json:"connections"`
}

func (u *usage) role() Role {
	switch {
	case u.Collects == "fleet":
		return FleetCollector
	case u.Collects == "group":
		return GroupCollector
	case u.Reader:
		return Reader
	case u.Seed:
		return Seed
	default:
		return Daemon
	}
}

// Logs are the logs of a fleet's daemons.
type Logs struct {
	// Skipped is the number of lines that are no log lines.
	Skipped int

	// usages has the last usage of each host.
	usages map[string]usage
	// reached has the time at which each host first had a version of the configuration.
	reached map[uint64]map[string]time.Time
}

// NewLogs returns empty logs.
func NewLogs() *Logs {
	return &Logs{usages: map[string]usage{}, reached: map[uint64]map[string]time.Time{}}
}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// Add reads JSON log lines. What comes before the JSON object may end with the name of the host; otherwise the lines are those of the named
// host.
func (l *Logs) Add(log io.Reader, host string) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		prefix, object, found := strings.Cut(lines.Text(), "{")
		var read line
		if !found || json.Unmarshal([]byte("{"+object), &read) != nil {
			l.Skipped++
			continue
		}
		name := host
		if words := strings.Fields(prefix); len(words) > 0 {
			name = words[len(words)-1]
		}
		l.add(name, &read)
	}
	return errors.WithStack(lines.Err())
}

func (l *Logs) add(host string, read *line) {
	switch read.Message {
	case "usage":
		l.usages[host] = read.usage
	case "catalog":
		hosts := l.reached[read.Version]
		if hosts == nil {
			hosts = map[string]time.Time{}
			l.reached[read.Version] = hosts
		}
		if _, known := hosts[host]; !known {
			hosts[host] = read.Time
		}
	}
}
