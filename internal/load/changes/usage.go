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

// usage is what a process has used since its start.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident int
	peak     int
	sent     uint64
	received uint64
	links    int
	// listBytes and leaseBytes are the parts of sent for lists and membership, and for rates over the fleet.
	listBytes, leaseBytes uint64
	asks                  uint64
	waits                 uint64
}

// clockTick is the unit of CPU times in /proc, USER_HZ, which Linux fixes at 100.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted behind the command's closing parenthesis.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldPages  = 21
)

func measure(ctx context.Context, d Daemon) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID))
	if err != nil {
		return usage{}, errors.Wrap(err, "changes: process")
	}
	fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
	user, _ := strconv.Atoi(string(fields[fieldUser]))
	system, _ := strconv.Atoi(string(fields[fieldSystem]))
	pages, _ := strconv.Atoi(string(fields[fieldPages]))
	u := usage{at: time.Now(), cpu: time.Duration(user+system) * clockTick, resident: pages * os.Getpagesize()}
	if u.peak, err = peak(d); err != nil {
		return usage{}, err
	}
	return u, u.status(ctx, d)
}

// peak returns the greatest resident memory since the process began, in bytes.
func peak(d Daemon) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID))
	if err != nil {
		return 0, errors.Wrap(err, "changes: process")
	}
	for line := range bytes.Lines(raw) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmHWM:" {
			kilobytes, err := strconv.Atoi(string(fields[1]))
			return kilobytes << 10, errors.Wrap(err, "changes: VmHWM")
		}
	}
	return 0, errors.New("changes: no VmHWM")
}

// status adds the bytes that the daemon itself counts.
func (u *usage) status(ctx context.Context, d Daemon) error {
	raw, err := get(ctx, "http://"+d.Operators.String()+"/statusz")
	if err != nil {
		return err
	}
	var status struct {
		Sent     uint64 `json:"peerBytesSent"`
		Received uint64 `json:"peerBytesReceived"`
		Links    int    `json:"peerConnections"`
		Messages map[string]struct {
			Sent uint64 `json:"sent"`
		} `json:"peerMessages"`
		Rates struct {
			Asks  uint64 `json:"asks"`
			Waits uint64 `json:"waits"`
		} `json:"rates"`
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return errors.Wrap(err, "changes: status")
	}
	u.sent, u.received, u.links = status.Sent, status.Received, status.Links
	u.listBytes = status.Messages["digest"].Sent + status.Messages["fetch"].Sent
	u.leaseBytes = status.Messages["lease"].Sent + status.Messages["confirm"].Sent + status.Messages["handover"].Sent
	u.asks, u.waits = status.Rates.Asks, status.Rates.Waits
	return nil
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "changes")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "changes")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return raw, errors.Wrap(err, "changes")
}

// Spent is what daemons spent in one part of the measurement, as median and greatest over the daemons.
type Spent struct {
	// CPU is in per cent of a core.
	CPU Range `json:"cpuPercent"`
	// Sent and Received are bytes a second between peers, without TCP's own.
	Sent     Range `json:"sentBytesPerS"`
	Received Range `json:"receivedBytesPerS"`
	// ListBytes and LeaseBytes are the parts of Sent for lists and membership, and for rates over the fleet.
	ListBytes  Range `json:"listBytesPerS"`
	LeaseBytes Range `json:"leaseBytesPerS"`
	// Asks are questions to homes a second.
	Asks Range `json:"leaseAsksPerS"`
	// Waits are requests a second that found no token in stock.
	Waits Range `json:"waitsPerS"`
	// Resident is in megabytes at the end of the part.
	Resident Range `json:"residentMB"`
	// Peak is the most since the process began, in megabytes.
	Peak  Range `json:"peakMB"`
	Links Range `json:"peerConnections"`
	// PlatformCalls is calls a second of all daemons together, a waiting watch as one.
	PlatformCalls float64 `json:"platformCallsPerS"`
}

// Range is the median and the greatest of a set of values.
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

func spent(before, after []usage) Spent {
	var cpu, sent, received, listBytes, leaseBytes, resident, peaks, links, asks, waits []float64
	for i := range before {
		length := after[i].at.Sub(before[i].at).Seconds()
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/length)
		sent = append(sent, float64(after[i].sent-before[i].sent)/length)
		received = append(received, float64(after[i].received-before[i].received)/length)
		listBytes = append(listBytes, float64(after[i].listBytes-before[i].listBytes)/length)
		leaseBytes = append(leaseBytes, float64(after[i].leaseBytes-before[i].leaseBytes)/length)
		asks = append(asks, float64(after[i].asks-before[i].asks)/length)
		waits = append(waits, float64(after[i].waits-before[i].waits)/length)
		resident = append(resident, float64(after[i].resident)/(1<<20))
		peaks = append(peaks, float64(after[i].peak)/(1<<20))
		links = append(links, float64(after[i].links))
	}
	return Spent{
		CPU: rangeOf(cpu), Sent: rangeOf(sent), Received: rangeOf(received), Resident: rangeOf(resident),
		ListBytes: rangeOf(listBytes), LeaseBytes: rangeOf(leaseBytes),
		Peak: rangeOf(peaks), Links: rangeOf(links), Asks: rangeOf(asks), Waits: rangeOf(waits),
	}
}
