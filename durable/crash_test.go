package durable

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// crashAt returns a crash under the first tasks of the jobs at a log time.
func crashAt(at time.Duration, jobs ...contract.DurableJobID) Crash {
	c := Crash{At: at.Milliseconds(), WorkerCrash: contract.WorkerCrash{Instance: contract.WorkerInstance{ID: "w", StartedMillis: int64(at)}}}
	for _, j := range jobs {
		c.Runs = append(c.Runs, contract.CrashedRun{Ref: contract.RunRef{Job: j, Run: 1}, Queue: "q"})
	}
	return c
}

func TestCrashesAreKeptForStoredJobs(t *testing.T) {
	s := New()
	s.Apply(&Batch{LogTime: 1, Submits: []contract.DurableJob{{ID: "stored", MaxAttempts: 1, Steps: []contract.DurableStep{{Count: 1}}}}})
	s.Apply(&Batch{LogTime: 2, Crashes: []Crash{crashAt(time.Second, "stored"), crashAt(time.Second, "transient")}})
	data, err := s.Encode()
	must.NoError(t, err)
	s, err = Restore(data)
	must.NoError(t, err)
	must.Len(t, 2, s.Crashes)
	must.Eq(t, contract.DurableJobID("stored"), s.Crashes[0].Runs[0].Ref.Job)
	s.Apply(&Batch{LogTime: (CrashRetention + 2*time.Second).Milliseconds()})
	must.Len(t, 1, s.Crashes)
	s.Apply(&Batch{LogTime: s.LogTime, Failed: []contract.DurableJobID{"stored", "unknown"}})
	must.Eq(t, contract.DurableFailed, s.Jobs["stored"].State)
	s.Apply(&Batch{LogTime: s.LogTime})
	must.SliceEmpty(t, s.Crashes)
	for range maxCrashes + 3 {
		s.Apply(&Batch{LogTime: s.LogTime, Crashes: []Crash{crashAt(time.Duration(s.LogTime)*time.Millisecond, "x")}})
	}
	must.Len(t, maxCrashes, s.Crashes)
}
