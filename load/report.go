package load

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the histograms in microseconds, and their precision in decimal digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(30 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// maxExamples limits the number of faults that are reported in full.
const maxExamples = 10

// Report holds the measurements of a run.
type Report struct {
	Mix     Mix           `json:"-"`
	Elapsed time.Duration `json:"-"`
	// Sent is the number of requests, and NotSent the number of arrivals that were not
	// sent because Config.MaxInFlight requests were in progress.
	Sent    int `json:"sent"`
	NotSent int `json:"not_sent"`
	// Disconnected is the number of callers that disconnected as scheduled.
	Disconnected int `json:"left"`
	// CompletedTasks is the number of tasks of jobs with a complete answer.
	CompletedTasks int            `json:"whole_tasks"`
	Refused        map[string]int `json:"refused"`
	Faults         int            `json:"faults"`
	// Examples describes the first faults.
	Examples []string `json:"examples,omitempty"`
	Jobs     *Lags    `json:"-"`
	Singles  *Lags    `json:"-"`
	// SendDelays is the delay of the load generator itself: how long after its scheduled
	// time each request was sent, in microseconds.
	SendDelays *hdrhistogram.Histogram `json:"-"`
	Counters   Counters                `json:"counters"`
}

// Lags measures the lag of complete answers: response time minus the ideal, which is
// the run time of the longest task.
type Lags struct {
	lag         *hdrhistogram.Histogram
	lagFromSent *hdrhistogram.Histogram
	ratioSum    float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func newLags() *Lags { return &Lags{lag: newHistogram(), lagFromSent: newHistogram()} }

func newReport(m Mix) *Report {
	return &Report{Mix: m, Refused: make(map[string]int), Jobs: newLags(), Singles: newLags(), SendDelays: newHistogram()}
}

func (l *Lags) add(response, sendDelay, ideal time.Duration) {
	recordClamped(l.lag, response-ideal)
	recordClamped(l.lagFromSent, response-sendDelay-ideal)
	l.ratioSum += float64(response) / float64(ideal)
}

// recordClamped records a value, clamped to the range of the histograms.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Count returns the number of complete answers.
func (l *Lags) Count() int64 { return l.lag.TotalCount() }

// Lag returns a percentile, from 0 to 100, of the lag.
func (l *Lags) Lag(percentile float64) time.Duration {
	return time.Duration(l.lag.ValueAtPercentile(percentile)) * time.Microsecond
}

// LagWithoutSendDelay returns a percentile, from 0 to 100, of the lag without the delay
// of the load generator itself.
func (l *Lags) LagWithoutSendDelay(percentile float64) time.Duration {
	return time.Duration(l.lagFromSent.ValueAtPercentile(percentile)) * time.Microsecond
}

// MeanRatio returns the mean ratio of the response time to the ideal.
func (l *Lags) MeanRatio() float64 {
	if l.Count() == 0 {
		return 0
	}
	return l.ratioSum / float64(l.Count())
}

func (r *Report) add(a Answer) {
	r.Sent++
	recordClamped(r.SendDelays, a.SendDelay)
	switch {
	case a.Fault != "":
		r.Faults++
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, a.Fault)
		}
	case a.Disconnected:
		r.Disconnected++
	case a.Kind != "":
		r.Refused[a.Kind]++
	case a.Arrival.Single:
		r.Singles.add(a.Response, a.SendDelay, a.Arrival.Ideal())
	default:
		r.Jobs.add(a.Response, a.SendDelay, a.Arrival.Ideal())
		r.CompletedTasks += len(a.Arrival.Work)
	}
}

// CompleteAnswers returns the number of complete answers.
func (r *Report) CompleteAnswers() int64 { return r.Jobs.Count() + r.Singles.Count() }

// messagesPerTask is the minimum number of messages for a task of a job: its start and
// its result.
const messagesPerTask = 2

// WastedMessagesPerAnswer returns the number of messages between processes per complete
// answer, without the start and the result of each task of a completed job.
func (r *Report) WastedMessagesPerAnswer() float64 {
	if r.CompleteAnswers() == 0 {
		return 0
	}
	wasted := r.Counters.Messages() - int64(messagesPerTask*r.CompletedTasks)
	return float64(wasted) / float64(r.CompleteAnswers())
}

// CSV writes answers as comma-separated values, one line per answer.
type CSV struct{ w *csv.Writer }

// NewCSV returns a CSV that writes to w, after writing the header line.
func NewCSV(w io.Writer) *CSV {
	c := &CSV{w: csv.NewWriter(w)}
	c.w.Write([]string{"number", "at_ms", "single", "team", "tasks", "ideal_ms", "response_ms", "late_ms", "status", "outcome", "kind", "left", "fault"})
	return c
}

// Write writes one answer. Flush returns any write error.
func (c *CSV) Write(a Answer) {
	c.w.Write([]string{
		strconv.Itoa(a.Arrival.Number), millis(a.Arrival.ScheduledAt), strconv.FormatBool(a.Arrival.Single), a.Arrival.Team, strconv.Itoa(len(a.Arrival.Work)),
		millis(a.Arrival.Ideal()), millis(a.Response), millis(a.SendDelay), strconv.Itoa(a.Status), a.Outcome, a.Kind, strconv.FormatBool(a.Disconnected), a.Fault,
	})
}

// Flush writes the buffered lines and returns the first error of any write.
func (c *CSV) Flush() error {
	c.w.Flush()
	return c.w.Error()
}

func millis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}
