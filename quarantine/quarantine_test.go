package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/carawaylanding/carawaylanding/contract"
)

// crash returns a crash of instance n that ran the first tasks of the given jobs, all of
// the queue "q"; a job named "JOB@QUEUE" is of another queue.
func crash(n int, jobs ...string) *contract.WorkerCrash {
	c := &contract.WorkerCrash{Instance: contract.WorkerInstance{ID: contract.HostID(fmt.Sprint("w", n)), StartedMillis: 1}, Pool: "p"}
	for _, j := range jobs {
		id, queue := j, "q"
		for i := range j {
			if j[i] == '@' {
				id, queue = j[:i], j[i+1:]
			}
		}
		c.Runs = append(c.Runs, contract.CrashedRun{Ref: contract.RunRef{Job: contract.DurableJobID(id), Run: 1}, Queue: queue})
	}
	return c
}

func first(job string) contract.DurableTask {
	return contract.DurableTask{Job: contract.DurableJobID(job)}
}

func TestVerdicts(t *testing.T) {
	beside, alone := []string{"j", "other"}, []string{"j"}
	for name, c := range map[string]struct {
		crashes [][]string
		want    Verdict
	}{
		"none":                          {nil, Clear},
		"one beside others":             {[][]string{beside}, Separate},
		"one alone":                     {[][]string{alone}, Isolate},
		"two beside others":             {[][]string{beside, beside}, Isolate},
		"beside others, then alone":     {[][]string{beside, alone}, GivenUp},
		"alone, then beside others":     {[][]string{alone, beside}, GivenUp},
		"three beside others":           {[][]string{beside, beside, beside}, Exhausted},
		"three beside others and alone": {[][]string{beside, beside, beside, alone}, GivenUp},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			for i, jobs := range c.crashes {
				l.Record(time.Second, crash(i, jobs...))
			}
			must.Eq(t, c.want, l.Verdict(first("j")))
			must.Eq(t, c.want, l.JobVerdict("j"))
		})
	}
}

func TestCrashCountsOnceForATask(t *testing.T) {
	l := NewLedger()
	must.Len(t, 2, l.Record(time.Second, crash(1, "a", "b")))
	must.SliceEmpty(t, l.Record(2*time.Second, crash(1, "a", "b")))
	must.Eq(t, []contract.DurableTask{first("c")}, l.Record(3*time.Second, crash(1, "a", "c")), must.Sprint("a later report names one run more"))
	must.Eq(t, 1, l.Crashes(first("a")))
	reborn := crash(1, "a", "b")
	reborn.Instance.StartedMillis++
	must.Len(t, 2, l.Record(4*time.Second, reborn), must.Sprint("another instance under the same name"))
	must.Eq(t, 2, l.Crashes(first("a")))
}

func TestPartialReportIsNoEvidence(t *testing.T) {
	l := NewLedger()
	c := crash(1, "a")
	c.Partial = true
	l.Record(time.Second, c)
	must.Eq(t, Separate, l.Verdict(first("a")))
}

// TestCrashesPointToAQueue lists crashes by the runs on the worker, those that had just
// started last, after the mark "old"; the queue that is confined by the last crash, if
// any.
func TestCrashesPointToAQueue(t *testing.T) {
	for name, c := range map[string]struct {
		crashes [][]string
		want    []string
	}{
		"one crash":                         {[][]string{{"a", "x@x"}}, nil},
		"two under one task":                {[][]string{{"a", "x@x"}, {"y@y", "a"}}, []string{"q"}},
		"two under different tasks":         {[][]string{{"a", "x@x"}, {"b", "y@y"}}, nil},
		"two queues started before both":    {[][]string{{"a", "x@x"}, {"a", "x2@x"}}, nil},
		"a third tells them apart":          {[][]string{{"a", "x@x"}, {"a", "x2@x"}, {"b"}}, []string{"q"}},
		"only an innocent one is under two": {[][]string{{"a", "x@x"}, {"x@x", "b"}, {"c"}}, nil},
		"an innocent one and the guilty":    {[][]string{{"a", "x@x"}, {"x@x", "b"}, {"a", "y@y"}}, []string{"q"}},
		"an old run is under two":           {[][]string{{"x@x", "old", "a"}, {"x@x", "old", "b"}}, nil},
		"it is of the same queue":           {[][]string{{"a", "old", "b"}, {"a", "old", "c"}}, nil},
		"and a young one too":               {[][]string{{"x@x", "old", "a"}, {"x@x", "old", "a"}}, []string{"q"}},
		"proof counts without agreement":    {[][]string{{"x@x", "a"}, {"y@y"}, {"a"}}, []string{"q"}},
		"each crash by itself, other pool":  {[][]string{{"a", "x@x"}, {"p2", "a", "y@y"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			l, conf := NewLedger(), NewConfinement()
			var got []string
			for i, jobs := range c.crashes {
				pool, old := "p", slices.Index(jobs, "old")
				if jobs[0] == "p2" {
					pool, jobs = "p2", jobs[1:]
				}
				names := slices.DeleteFunc(slices.Clone(jobs), func(j string) bool { return j == "old" })
				w := crash(i, names...)
				w.Pool = pool
				for r := range max(old, 0) {
					w.Runs[r].Elapsed = youngTime + 1
				}
				at := time.Second + time.Duration(i)*2*minRestartTime
				l.Record(at, w)
				got = conf.Blame(at, l, w)
			}
			must.Eq(t, c.want, got)
		})
	}
}

func TestOldEvidenceDoesNotCount(t *testing.T) {
	l, conf := NewLedger(), NewConfinement()
	blame := func(at time.Duration, w *contract.WorkerCrash) []string {
		l.Record(at, w)
		return conf.Blame(at, l, w)
	}
	must.SliceEmpty(t, blame(time.Second, crash(1, "a", "x@x")))
	must.SliceEmpty(t, blame(time.Second+minRestartTime-1, crash(9, "a", "y@y")), must.Sprint("at the same moment"))
	must.SliceEmpty(t, blame(2*time.Second+evidenceTime, crash(2, "b", "y@y")))
	must.Eq(t, []string{"q"}, blame(3*time.Second+evidenceTime, crash(3, "z@z", "b")))
	must.SliceEmpty(t, blame(3*time.Second+evidenceTime, crash(4, "z@z", "c")), must.Sprint("put down to the confined queue"))
	must.False(t, conf.Confined(Queue{"p", "z"}))
}

func TestForget(t *testing.T) {
	l := NewLedger()
	l.Record(time.Second, crash(1, "old", "stored"))
	l.Record(50*time.Second, crash(2, "new"))
	l.Forget(Retention+2*time.Second, func(id contract.DurableJobID) bool { return id == "stored" })
	must.Eq(t, Clear, l.JobVerdict("old"))
	must.Eq(t, Separate, l.JobVerdict("stored"))
	must.Eq(t, Isolate, l.JobVerdict("new"))
	for i := range maxTasks + 5 {
		l.Record(time.Minute, crash(3, fmt.Sprint("j", i)))
	}
	l.Forget(Retention+2*time.Second+forgetInterval, func(contract.DurableJobID) bool { return true })
	must.Eq(t, maxTasks, len(l.tasks))
	must.Eq(t, maxTasks, len(l.byAge))
}

func TestConfinementEndsAfterCleanJobsAndQuietTime(t *testing.T) {
	c, q := NewConfinement(), Queue{"p", "q"}
	now := time.Second
	must.True(t, c.Crashed(now, q))
	must.False(t, c.Crashed(now, q))
	must.False(t, c.JobDone(now+quietTime, now-1, q), must.Sprint("a job from before says nothing of those that come"))
	for range cleanJobs {
		must.False(t, c.JobDone(now+quietTime-1, now, q))
	}
	must.True(t, c.JobDone(now+quietTime, now, q))
	must.False(t, c.Confined(q))
	must.Eq(t, 0, c.Count("p"))

	now += relapseTime / 2
	must.True(t, c.Crashed(now, q))
	for range 2*cleanJobs - 1 {
		must.False(t, c.JobDone(now+2*quietTime, now, q), must.Sprint("after a relapse it takes twice as long"))
	}
	must.False(t, c.JobDone(now+2*quietTime-1, now, q))
	must.True(t, c.JobDone(now+2*quietTime, now, q))
}

func TestConfinedJobsShareWorkersAgainAfterCleanOnes(t *testing.T) {
	c, q := NewConfinement(), Queue{"p", "q"}
	c.Crashed(time.Second, q)
	must.Eq(t, 1, c.JobsPerWorker(time.Second, q))
	for range 2 * cleanPerShare {
		c.JobDone(time.Second, time.Second, q)
	}
	must.Eq(t, 3, c.JobsPerWorker(time.Second, q))
	must.Eq(t, 4, c.JobsPerWorker(time.Second+timePerShare, q))
	c.Crashed(time.Second, q)
	must.Eq(t, 1, c.JobsPerWorker(time.Second+2*timePerShare, q), must.Sprint("no job has run since"))
	must.Greater(t, minBackoff, c.Backoff(q))
}
