package traffic

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Report holds what is written about a run.
type Report struct {
	Plan    *Plan
	Result  Result
	Seconds []Second
}

// Names of a report's files.
const (
	reportFile  = "report.md"
	secondsFile = "seconds.csv"
)

// Save writes report.md and seconds.csv into the folder, which it creates if necessary; the error names the file or folder
// that could not be written.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "traffic: report")
	}
	files := map[string]func(io.Writer) error{reportFile: r.markdown, secondsFile: r.csv}
	for name, write := range files {
		if err := save(filepath.Join(dir, name), write); err != nil {
			return errors.Wrap(err, "traffic: report")
		}
	}
	return nil
}

func save(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (r *Report) csv(out io.Writer) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"second", "sent", "whole", "refused", "unknown", "p50Ms", "p90Ms", "p99Ms", "maxMs", "events"})
	for _, s := range r.Seconds {
		_ = w.Write([]string{
			strconv.Itoa(s.At), strconv.Itoa(s.Sent), strconv.Itoa(s.Whole), strconv.Itoa(s.Refused), strconv.Itoa(s.Unknown),
			millis(s.P50), millis(s.P90), millis(s.P99), millis(s.Max), r.notes(s.At),
		})
	}
	w.Flush()
	return w.Error()
}

// barWidth is the length of the longest bar in characters.
const barWidth = 30

func (r *Report) markdown(out io.Writer) error {
	var page strings.Builder
	result := r.Result
	fmt.Fprintf(&page, "# Run of %s\n\n", time.Duration(r.Plan.Length))
	fmt.Fprintf(&page, "%d daemons, %d streams. Sent %d: %d whole, %d refused, %d unknown. ", len(r.Plan.Daemons), len(r.Plan.Streams), result.Sent, result.Whole, result.Refused, result.Unknown)
	fmt.Fprintf(&page, "Refused within the rate: %d. Whole more than 3 s after a withdrawal: %d. ", result.WrongfulRefusals, result.AfterWithdrawal)
	fmt.Fprintf(&page, "Added latency in the quiet part: p50 %.3f ms, p99 %.3f ms.\n\n", result.AddedP50Ms, result.AddedP99Ms)
	page.WriteString("Latency is that of whole answers as callers saw it, in ms, by the second in which the request was sent.\n\n")
	page.WriteString("| s | sent | whole | refused | unknown | p50 | p90 | p99 | max | whole, drawn | events |\n")
	page.WriteString("| --: | --: | --: | --: | --: | --: | --: | --: | --: | --- | --- |\n")
	maxWhole := 1
	for _, s := range r.Seconds {
		maxWhole = max(maxWhole, s.Whole)
	}
	for _, s := range r.Seconds {
		fmt.Fprintf(&page, "| %d | %d | %d | %d | %d | %s | %s | %s | %s | `%s` | %s |\n", s.At, s.Sent, s.Whole, s.Refused, s.Unknown,
			millis(s.P50), millis(s.P90), millis(s.P99), millis(s.Max), strings.Repeat("#", s.Whole*barWidth/maxWhole), r.notes(s.At))
	}
	_, err := io.WriteString(out, page.String())
	return err
}

// notes returns the notes of the events in the given second.
func (r *Report) notes(second int) string {
	var notes []string
	for _, e := range r.Plan.Events {
		if int(time.Duration(e.At)/time.Second) == second {
			notes = append(notes, e.Note)
		}
	}
	return strings.Join(notes, "; ")
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 2, 64)
}
