package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func testMix(t *testing.T) Mix {
	w, err := ParseWork(DefaultWork)
	must.NoError(t, err)
	return Mix{
		Seed: 7, Arrivals: Poisson, Rate: 50, Duration: time.Minute, MaxArrivals: 100000, Work: w, MinTasks: 1, MaxTasks: 150,
		SingleShare: 0.25, CancelShare: 0.1, Deadline: 10 * time.Second, Route: "cards", Path: "/cards", Teams: []string{"a", "b"},
		BurstEvery: 5 * time.Second, BurstLength: 500 * time.Millisecond, BurstFactor: 8,
	}
}

func drawAll(m Mix) []Arrival {
	p := NewPlan(m)
	var out []Arrival
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		out = append(out, a)
	}
	return out
}

func TestPlanFollowsTheMix(t *testing.T) {
	m := testMix(t)
	all := drawAll(m)
	must.Eq(t, all, drawAll(m))
	must.InDelta(t, 3000, float64(len(all)), 250)
	var singles, cancelled, tasks int
	var logSum float64
	for _, a := range all {
		if a.Single {
			singles++
		}
		if a.DisconnectAfter > 0 {
			cancelled++
		}
		must.Between(t, 1, len(a.Work), 150)
		for _, w := range a.Work {
			must.Between(t, minWork, w, maxWork)
			logSum += math.Log(w.Seconds())
			tasks++
		}
	}
	must.InDelta(t, 0.25, float64(singles)/float64(len(all)), 0.03)
	must.InDelta(t, 0.1, float64(cancelled)/float64(len(all)), 0.03)
	want := 0.92*math.Log(0.15) + 0.08*math.Log(2)
	must.InDelta(t, want, logSum/float64(tasks), 0.08)
}

func TestBurstsKeepTheMeanRate(t *testing.T) {
	m := testMix(t)
	m.Arrivals = Bursty
	m.Duration = 10 * time.Minute
	all := drawAll(m)
	inBursts := 0
	for _, a := range all {
		if a.ScheduledAt%m.BurstEvery < m.BurstLength {
			inBursts++
		}
	}
	must.InDelta(t, 30000, float64(len(all)), 900)
	must.InDelta(t, 8.0/17, float64(inBursts)/float64(len(all)), 0.02) // 0.1*8 / (0.1*8 + 0.9)
}

func TestValidateReportsEveryError(t *testing.T) {
	err := Mix{Arrivals: "comb", SingleShare: 2, MaxTasks: 151}.Validate()
	for _, want := range []string{"comb", "rate", "bound", "work", "job sizes", "single requests", "deadline", "team", "path"} {
		must.ErrorContains(t, err, want)
	}
	_, err = ParseWork("0.5:soon:1")
	must.ErrorContains(t, err, "median")
}

// fakeEntry starts a server that answers jobs and single requests completely. The
// function alter may change the results of a job before they are sent.
func fakeEntry(t *testing.T, alter func(results []map[string]any) []map[string]any) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Caraway-Outcome", "ran")
		if r.URL.Path != "/v1/jobs" {
			io.Copy(w, r.Body)
			return
		}
		var spec struct {
			Tasks []struct{ Payload json.RawMessage }
		}
		json.NewDecoder(r.Body).Decode(&spec)
		var results []map[string]any
		for i, task := range spec.Tasks {
			results = append(results, map[string]any{"task": i, "body": task.Payload})
		}
		json.NewEncoder(w).Encode(map[string]any{"results": alter(results)})
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func shortMix(t *testing.T) Mix {
	m := testMix(t)
	m.Rate, m.MaxArrivals, m.CancelShare, m.MinTasks = 2000, 60, 0, 2
	return m
}

func TestCorrectAnswersAreCountedAsComplete(t *testing.T) {
	var out bytes.Buffer
	csv := NewCSV(&out)
	addr := fakeEntry(t, func(r []map[string]any) []map[string]any { return r })
	rep, err := Run(context.Background(), Config{Mix: shortMix(t), Targets: []string{addr}, OnAnswer: csv.Write})
	must.NoError(t, err)
	must.Eq(t, 60, rep.Sent)
	must.Eq(t, 0, rep.Faults, must.Sprint(rep.Examples))
	must.Eq(t, 60, rep.CompleteAnswers())
	must.NoError(t, csv.Flush())
	must.Eq(t, 61, strings.Count(out.String(), "\n"))
}

func TestWrongAnswersAreFaults(t *testing.T) {
	for name, alter := range map[string]func([]map[string]any) []map[string]any{
		"one result missing": func(r []map[string]any) []map[string]any { return r[1:] },
		"two results swapped": func(r []map[string]any) []map[string]any {
			r[0]["body"], r[1]["body"] = r[1]["body"], r[0]["body"]
			return r
		},
		"result of another request": func(r []map[string]any) []map[string]any {
			r[0]["body"] = map[string]string{"echo": "7-9999-0"}
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := shortMix(t)
			m.SingleShare = 0
			rep, err := Run(context.Background(), Config{Mix: m, Targets: []string{fakeEntry(t, alter)}})
			must.NoError(t, err)
			must.Eq(t, rep.Sent, rep.Faults)
		})
	}
}

func TestRefusalsAreChecked(t *testing.T) {
	for body, want := range map[string]string{
		`{"kind": "overload", "remedy": "come back"}`:                "",
		`{"kind": "overload"}`:                                       "without a remedy",
		`{"kind": "task-failed", "remedy": "read", "results": [{}]}`: "a part of the results",
		`busy`: "without an error kind",
	} {
		res := &http.Response{StatusCode: 503, Header: http.Header{"Caraway-Outcome": {"not-run"}}}
		_, fault := check(testMix(t), Arrival{}, res, []byte(body))
		must.StrContains(t, fault, want)
		must.Eq(t, want == "", fault == "")
	}
	_, fault := check(testMix(t), Arrival{}, &http.Response{StatusCode: 200, Header: http.Header{}}, nil)
	must.StrContains(t, fault, "without an outcome")
}

// Arrivals must not wait for earlier answers, and response times are measured from the
// scheduled time of the arrival; otherwise a stalled server would hide its own delay.
// The server sends no answer until the last arrival is due.
func TestOpenLoopMeasuresFromTheScheduledTime(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set("Caraway-Outcome", "ran")
		io.Copy(w, r.Body)
	}))
	t.Cleanup(srv.Close)
	const sent, notSent = 30, 10
	m := shortMix(t)
	m.SingleShare, m.Rate, m.MaxArrivals = 1, 1000, sent+notSent
	answers := make(map[int]Answer)
	cfg := Config{Mix: m, Targets: []string{srv.Listener.Addr().String()}, MaxInFlight: sent, OnAnswer: func(a Answer) { answers[a.Arrival.Number] = a }}
	r := newRunner(cfg)
	done := make(chan struct{})
	go func() {
		r.sendAll(context.Background())
		close(done)
	}()
	for r.notSentCount() < notSent {
		time.Sleep(time.Millisecond)
	}
	close(release)
	<-done
	must.Eq(t, sent, r.report.Sent)
	must.Eq(t, 0, r.report.Faults, must.Sprint(r.report.Examples))
	all := drawAll(m)
	for n, a := range answers {
		must.GreaterEq(t, all[len(all)-1].ScheduledAt-all[n].ScheduledAt, a.Response, must.Sprintf("answer %d", n))
	}
}

func (r *runner) notSentCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.NotSent
}
