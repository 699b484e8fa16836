package load

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(30 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxExamples bounds the faults that are told word for word.
const maxExamples = 10

// Report is what a run measured.
type Report struct {
	Mix     Mix           `json:"-"`
	Elapsed time.Duration `json:"-"`
	// Sent counts the requests, NotSent the arrivals beyond MaxInFlight.
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// Left counts the callers that left as planned.
	Left int `json:"left"`
	// WholeTasks counts the tasks of whole jobs.
	WholeTasks int            `json:"whole_tasks"`
	Refused    map[string]int `json:"refused"`
	Faults     int            `json:"faults"`
	// Examples are the first faults.
	Examples []string `json:"examples,omitempty"`
	Jobs     *Lags    `json:"-"`
	Singles  *Lags    `json:"-"`
	// Late is how late the tool itself sent.
	Late     *hdrhistogram.Histogram `json:"-"`
	Counters Counters                `json:"counters"`
}

// Lags measures whole answers against their ideal.
type Lags struct {
	lag      *hdrhistogram.Histogram
	fromSent *hdrhistogram.Histogram
	ratioSum float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newLags() *Lags { return &Lags{lag: newHistogram(), fromSent: newHistogram()} }

func newReport(m Mix) *Report {
	return &Report{Mix: m, Refused: make(map[string]int), Jobs: newLags(), Singles: newLags(), Late: newHistogram()}
}

func (l *Lags) add(response, late, ideal time.Duration) {
	record(l.lag, response-ideal)
	record(l.fromSent, response-late-ideal)
	l.ratioSum += float64(response) / float64(ideal)
}

// record takes a value, moved into the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Count returns the number of whole answers.
func (l *Lags) Count() int64 { return l.lag.TotalCount() }

// Lag returns a percentile of the lag against the ideal.
func (l *Lags) Lag(percentile float64) time.Duration {
	return time.Duration(l.lag.ValueAtPercentile(percentile)) * time.Microsecond
}

// LagFromSent returns a percentile of the lag without the tool's own lateness
// in sending.
func (l *Lags) LagFromSent(percentile float64) time.Duration {
	return time.Duration(l.fromSent.ValueAtPercentile(percentile)) * time.Microsecond
}

// MeanRatio returns the mean of response time to ideal.
func (l *Lags) MeanRatio() float64 {
	if l.Count() == 0 {
		return 0
	}
	return l.ratioSum / float64(l.Count())
}

func (r *Report) add(a Answer) {
	r.Sent++
	record(r.Late, a.Late)
	switch {
	case a.Fault != "":
		r.Faults++
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, a.Fault)
		}
	case a.Left:
		r.Left++
	case a.Kind != "":
		r.Refused[a.Kind]++
	case a.Arrival.Single:
		r.Singles.add(a.Response, a.Late, a.Arrival.Ideal())
	default:
		r.Jobs.add(a.Response, a.Late, a.Arrival.Ideal())
		r.WholeTasks += len(a.Arrival.Work)
	}
}

// Useful returns the number of whole answers.
func (r *Report) Useful() int64 { return r.Jobs.Count() + r.Singles.Count() }

// usefulMessages is the number of messages that a task of a whole job needs:
// its start and its result.
const usefulMessages = 2

// WastedPerAnswer returns the messages between processes, beyond a start and a
// result for each task of a whole job, for each useful answer.
func (r *Report) WastedPerAnswer() float64 {
	if r.Useful() == 0 {
		return 0
	}
	wasted := r.Counters.Messages() - int64(usefulMessages*r.WholeTasks)
	return float64(wasted) / float64(r.Useful())
}

// CSV writes one line for each answer.
type CSV struct{ w *csv.Writer }

// NewCSV writes the line of the column names.
func NewCSV(w io.Writer) *CSV {
	c := &CSV{w: csv.NewWriter(w)}
	c.w.Write([]string{"number", "at_ms", "single", "team", "tasks", "ideal_ms", "response_ms", "late_ms", "status", "outcome", "kind", "left", "fault"})
	return c
}

// Write writes one answer; Flush tells of faults.
func (c *CSV) Write(a Answer) {
	c.w.Write([]string{
		strconv.Itoa(a.Arrival.Number), millis(a.Arrival.At), strconv.FormatBool(a.Arrival.Single), a.Arrival.Team, strconv.Itoa(len(a.Arrival.Work)),
		millis(a.Arrival.Ideal()), millis(a.Response), millis(a.Late), strconv.Itoa(a.Status), a.Outcome, a.Kind, strconv.FormatBool(a.Left), a.Fault,
	})
}

// Flush writes what is left, and returns the first fault of any write.
func (c *CSV) Flush() error {
	c.w.Flush()
	return c.w.Error()
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}
