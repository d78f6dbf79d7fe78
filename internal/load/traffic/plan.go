package traffic

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written as text in a plan, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the duration; the error is that of time.ParseDuration.
func (d *Duration) UnmarshalText(raw []byte) error {
	parsed, err := time.ParseDuration(string(raw))
	*d = Duration(parsed)
	return err
}

// Stream describes the requests of one organisation to one operation, sent at a constant rate independent of the responses.
type Stream struct {
	Organisation string   `json:"organisation"`
	Key          string   `json:"key"`
	Method       string   `json:"method"`
	Path         string   `json:"path"`
	Rate         float64  `json:"rate"`
	BodyBytes    int      `json:"bodyBytes"`
	Timeout      Duration `json:"timeout"`
	// WithinRate marks a stream within its organisation's rate, so that a refusal is wrongful.
	WithinRate bool `json:"withinRate"`
	// Measured marks a stream whose added latency is measured until the plan's QuietUntil.
	Measured bool `json:"measured"`
}

// Event is an operator's HTTP request, sent at a given time after the start.
type Event struct {
	At     Duration `json:"at"`
	Note   string   `json:"note"`
	Method string   `json:"method"`
	URL    string   `json:"url"`
	File   string   `json:"file"`
	// Withdraws names the organisation whose key this event withdraws.
	Withdraws string `json:"withdraws"`
}

// Plan describes a whole run.
type Plan struct {
	Daemons []netip.AddrPort `json:"daemons"`
	Length  Duration         `json:"length"`
	// QuietUntil ends the initial part of the run, in which added latency is measured.
	QuietUntil Duration `json:"quietUntil"`
	Streams    []Stream `json:"streams"`
	Events     []Event  `json:"events"`
}

// ReadPlan reads a plan from a JSON file; unknown fields are an error.
func ReadPlan(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "traffic: read plan")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	plan := &Plan{}
	if err := dec.Decode(plan); err != nil {
		return nil, errors.Wrapf(err, "traffic: decode plan %s", path)
	}
	if len(plan.Daemons) == 0 || len(plan.Streams) == 0 || plan.Length <= 0 {
		return nil, errors.Errorf("traffic: plan %s must have daemons, streams and a length above 0", path)
	}
	for i, s := range plan.Streams {
		if s.Rate <= 0 {
			return nil, errors.Errorf("traffic: plan %s: streams[%d].rate must be above 0", path, i)
		}
	}
	return plan, nil
}
