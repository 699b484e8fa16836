package dispatch

// jobQueue holds the jobs with unplaced tasks, ordered by key. It is a treap
// that keeps the sum of queued work of each subtree; its operations, except for
// walk, take logarithmic time in expectation. Its priorities come from a
// generator with a fixed seed, so that the same sequence of operations yields
// the same tree.
type jobQueue struct {
	root *jobState
	rng  uint64 // state of the linear congruential generator of priorities
}

// treapNode is a job's node in its queue.
type treapNode struct {
	left, right *jobState
	priority    uint64
	work        int64 // queued work of the job, in slots times nanoseconds
	sum         int64 // queued work of the subtree
}

// before reports whether the job is served before o. Equal keys are ordered by
// admission.
func (j *jobState) before(o *jobState) bool {
	if j.orderKey != o.orderKey {
		return j.orderKey < o.orderKey
	}
	return j.seq < o.seq
}

// updateSum recomputes the sum of the subtree at j from its children.
func (j *jobState) updateSum() {
	j.node.sum = j.node.work
	if l := j.node.left; l != nil {
		j.node.sum += l.node.sum
	}
	if r := j.node.right; r != nil {
		j.node.sum += r.node.sum
	}
}

// insert adds a job, which must not be in the queue. Its key and queued work
// must not change while it is in the queue.
func (q *jobQueue) insert(j *jobState) {
	q.rng = q.rng*6364136223846793005 + 1442695040888963407
	j.node = treapNode{priority: q.rng >> 16, work: int64(j.queuedWork), sum: int64(j.queuedWork)}
	l, r := split(q.root, j)
	q.root = merge(merge(l, j), r)
}

// remove removes a job, which must be in the queue.
func (q *jobQueue) remove(j *jobState) { q.root = remove(q.root, j) }

// remove removes j from the tree t and returns the new root.
func remove(t, j *jobState) *jobState {
	switch {
	case t == nil:
		return nil
	case t == j:
		return merge(t.node.left, t.node.right)
	case j.before(t):
		t.node.left = remove(t.node.left, j)
	default:
		t.node.right = remove(t.node.right, j)
	}
	t.updateSum()
	return t
}

// split splits the tree t into the jobs that are served before pivot, l, and all
// others, r.
func split(t, pivot *jobState) (l, r *jobState) {
	if t == nil {
		return nil, nil
	}
	if t.before(pivot) {
		t.node.right, r = split(t.node.right, pivot)
		t.updateSum()
		return t, r
	}
	l, t.node.left = split(t.node.left, pivot)
	t.updateSum()
	return l, t
}

// merge joins two trees and returns the new root. All jobs of l must be before
// those of r.
func merge(l, r *jobState) *jobState {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.node.priority > r.node.priority:
		l.node.right = merge(l.node.right, r)
		l.updateSum()
		return l
	}
	r.node.left = merge(l, r.node.left)
	r.updateSum()
	return r
}

// first returns the job to serve first, or nil if the queue is empty.
func (q *jobQueue) first() *jobState {
	t := q.root
	for t != nil && t.node.left != nil {
		t = t.node.left
	}
	return t
}

// workBefore returns the queued work of the jobs whose key is below key.
func (q *jobQueue) workBefore(key int64) int64 {
	var sum int64
	for t := q.root; t != nil; {
		if t.orderKey >= key {
			t = t.node.left
			continue
		}
		sum += t.node.work
		if l := t.node.left; l != nil {
			sum += l.node.sum
		}
		t = t.node.right
	}
	return sum
}

// work returns the queued work of all jobs.
func (q *jobQueue) work() int64 {
	if q.root == nil {
		return 0
	}
	return q.root.node.sum
}

// walk visits the jobs in order until visit returns false.
func (q *jobQueue) walk(visit func(*jobState) bool) { walk(q.root, visit) }

// walk visits the jobs of the tree t in order until visit returns false, and
// reports whether it visited all of them.
func walk(t *jobState, visit func(*jobState) bool) bool {
	if t == nil {
		return true
	}
	return walk(t.node.left, visit) && visit(t) && walk(t.node.right, visit)
}
