package entry

import (
	"sync"
	"time"
)

// maxKeptAnswers bounds the bodies of the answers that are kept for
// resubmissions at one entry, in bytes. The agents keep theirs apart.
const maxKeptAnswers = 128 << 20

// keptAnswers are the ended jobs with a key whose bodies are kept, oldest
// first.
type keptAnswers struct {
	mu    sync.Mutex // guards all below; it is not held while a run's lock is
	runs  []keptAnswer
	bytes int
}

type keptAnswer struct {
	run   *jobRun
	bytes int
	at    time.Time
}

// add keeps a run's answer, and drops the ones before that have no room or are
// older than the retention.
func (k *keptAnswers) add(r *jobRun, now time.Time, retention time.Duration) {
	a := keptAnswer{run: r, bytes: r.trim(), at: now}
	for _, old := range k.push(a, now.Add(-retention)) {
		old.run.drop()
	}
}

func (k *keptAnswers) push(a keptAnswer, oldest time.Time) []keptAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs = append(k.runs, a)
	k.bytes += a.bytes
	n := 0
	for ; n < len(k.runs) && (k.bytes > maxKeptAnswers || k.runs[n].at.Before(oldest)); n++ {
		k.bytes -= k.runs[n].bytes
	}
	evicted := k.runs[:n:n]
	k.runs = k.runs[n:]
	return evicted
}

// trim forgets the payloads of a job that was answered, and returns the size
// of its results.
func (r *jobRun) trim() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spec.Tasks = nil
	return size(r.job.Results())
}

// drop forgets the payloads and the results of a job that was answered.
func (r *jobRun) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spec.Tasks = nil
	r.dropped = true
	r.job.DropBodies()
}
