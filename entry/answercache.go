package entry

import (
	"sync"
	"time"
)

// DefaultCachedAnswerBytes is the default of Config.CachedAnswerBytes.
const DefaultCachedAnswerBytes = 128 << 20

// answerCache holds the ended jobs with an idempotency key whose answer bodies
// are kept, oldest first.
type answerCache struct {
	limit int // of totalBytes

	mu         sync.Mutex // guards the fields below; never held together with a run's lock
	answers    []cachedAnswer
	totalBytes int
}

type cachedAnswer struct {
	run       *jobRun
	bodyBytes int
	storedAt  time.Time
}

// add stores a run's answer. It evicts the oldest answers to stay within
// the limit, and those that are older than the retention.
func (c *answerCache) add(r *jobRun, now time.Time, retention time.Duration) {
	a := cachedAnswer{run: r, bodyBytes: r.dropPayloads(), storedAt: now}
	for _, old := range c.insert(a, now.Add(-retention)) {
		old.run.dropBodies()
	}
}

func (c *answerCache) insert(a cachedAnswer, expireBefore time.Time) []cachedAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	c.totalBytes += a.bodyBytes
	n := 0
	for ; n < len(c.answers) && (c.totalBytes > c.limit || c.answers[n].storedAt.Before(expireBefore)); n++ {
		c.totalBytes -= c.answers[n].bodyBytes
	}
	evicted := c.answers[:n:n]
	c.answers = c.answers[n:]
	return evicted
}

// dropPayloads discards the payloads of an answered job, and returns the total
// size of its result bodies in bytes.
func (r *jobRun) dropPayloads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spec.Tasks = nil
	return bodyBytes(r.job.Results())
}

// dropBodies discards the payloads and the result bodies of an answered job.
func (r *jobRun) dropBodies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spec.Tasks = nil
	r.bodiesDropped = true
	r.job.DropBodies()
}
