package changes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// usage is a reading of a process's present memory and connections, and of what it has used since its start.
type usage struct {
	takenAt        time.Time
	cpu            time.Duration
	residentMemory int
	peakMemory     int
	sent           uint64
	received       uint64
	connections    int
	// listBytes and leaseBytes are the portions of sent for lists and membership, and for rates.
	listBytes, leaseBytes uint64
	leaseRequests         uint64
	tokenWaits            uint64
}

// clockTick is the unit of CPU times in /proc, USER_HZ, which Linux fixes at 100.
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted after the closing parenthesis of the command.
const (
	fieldUser          = 11
	fieldSystem        = 12
	fieldResidentPages = 21
)

func readUsage(ctx context.Context, d Daemon) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID))
	if err != nil {
		return usage{}, errors.Wrap(err, "changes: read process statistics")
	}
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	user, _ := strconv.Atoi(string(fields[fieldUser]))
	system, _ := strconv.Atoi(string(fields[fieldSystem]))
	pages, _ := strconv.Atoi(string(fields[fieldResidentPages]))
	u := usage{takenAt: time.Now(), cpu: time.Duration(user+system) * clockTick, residentMemory: pages * os.Getpagesize()}
	if u.peakMemory, err = peakMemory(d); err != nil {
		return usage{}, err
	}
	return u, u.readStatus(ctx, d)
}

// peakMemory returns the highest resident memory since the process started, in bytes.
func peakMemory(d Daemon) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID))
	if err != nil {
		return 0, errors.Wrap(err, "changes: read process status")
	}
	for line := range bytes.Lines(raw) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmHWM:" {
			kilobytes, err := strconv.Atoi(string(fields[1]))
			return kilobytes << 10, errors.Wrap(err, "changes: parse VmHWM")
		}
	}
	return 0, errors.New("changes: process status has no line VmHWM")
}

// readStatus adds the counters that the daemon reports in its status.
func (u *usage) readStatus(ctx context.Context, d Daemon) error {
	raw, err := get(ctx, "http://"+d.Operators.String()+"/statusz")
	if err != nil {
		return err
	}
	var status struct {
		Sent        uint64 `json:"peerBytesSent"`
		Received    uint64 `json:"peerBytesReceived"`
		Connections int    `json:"peerConnections"`
		Messages    map[string]struct {
			Sent uint64 `json:"sent"`
		} `json:"peerMessages"`
		Rates struct {
			Asks  uint64 `json:"asks"`
			Waits uint64 `json:"waits"`
		} `json:"rates"`
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return errors.Wrap(err, "changes: decode status")
	}
	u.sent, u.received, u.connections = status.Sent, status.Received, status.Connections
	u.listBytes = status.Messages["digest"].Sent + status.Messages["fetch"].Sent
	u.leaseBytes = status.Messages["lease"].Sent + status.Messages["confirm"].Sent + status.Messages["handover"].Sent
	u.leaseRequests, u.tokenWaits = status.Rates.Asks, status.Rates.Waits
	return nil
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "changes: build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "changes: send request")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return raw, errors.Wrap(err, "changes: read response")
}

// ResourceUse is what the daemons used in one phase of the measurement, as median and maximum over the daemons.
type ResourceUse struct {
	// CPU is the percentage of one core.
	CPU Range `json:"cpuPercent"`
	// Sent and Received are bytes per second between peers, without the overhead of TCP.
	Sent     Range `json:"sentBytesPerS"`
	Received Range `json:"receivedBytesPerS"`
	// ListBytes and LeaseBytes are the portions of Sent for lists and membership, and for rates.
	ListBytes  Range `json:"listBytesPerS"`
	LeaseBytes Range `json:"leaseBytesPerS"`
	// LeaseRequests is the number of lease requests to homes per second.
	LeaseRequests Range `json:"leaseAsksPerS"`
	// Waits is the number of requests per second that found no token in stock.
	Waits Range `json:"waitsPerS"`
	// Resident is the resident memory in megabytes at the end of the phase.
	Resident Range `json:"residentMB"`
	// Peak is the highest resident memory since the process started, in megabytes.
	Peak        Range `json:"peakMB"`
	Connections Range `json:"peerConnections"`
	// PlatformCalls is the requests per second of all daemons to the configuration store; a pending watch counts as one.
	PlatformCalls float64 `json:"platformCallsPerS"`
}

// Range is the median and the maximum of a set of values.
type Range struct {
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func rangeOf(values []float64) Range {
	if len(values) == 0 {
		return Range{}
	}
	slices.Sort(values)
	return Range{Median: values[len(values)/2], Max: values[len(values)-1]}
}

func usageBetween(before, after []usage) ResourceUse {
	var cpu, sent, received, listBytes, leaseBytes, resident, peaks, connections, leaseRequests, tokenWaits []float64
	for i := range before {
		length := after[i].takenAt.Sub(before[i].takenAt).Seconds()
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/length)
		sent = append(sent, float64(after[i].sent-before[i].sent)/length)
		received = append(received, float64(after[i].received-before[i].received)/length)
		listBytes = append(listBytes, float64(after[i].listBytes-before[i].listBytes)/length)
		leaseBytes = append(leaseBytes, float64(after[i].leaseBytes-before[i].leaseBytes)/length)
		leaseRequests = append(leaseRequests, float64(after[i].leaseRequests-before[i].leaseRequests)/length)
		tokenWaits = append(tokenWaits, float64(after[i].tokenWaits-before[i].tokenWaits)/length)
		resident = append(resident, float64(after[i].residentMemory)/(1<<20))
		peaks = append(peaks, float64(after[i].peakMemory)/(1<<20))
		connections = append(connections, float64(after[i].connections))
	}
	return ResourceUse{
		CPU: rangeOf(cpu), Sent: rangeOf(sent), Received: rangeOf(received), Resident: rangeOf(resident),
		ListBytes: rangeOf(listBytes), LeaseBytes: rangeOf(leaseBytes),
		Peak: rangeOf(peaks), Connections: rangeOf(connections), LeaseRequests: rangeOf(leaseRequests), Waits: rangeOf(tokenWaits),
	}
}
