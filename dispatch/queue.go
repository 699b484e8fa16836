package dispatch

// jobQueue holds the jobs with unplaced tasks in the order of their keys, as a
// treap with the sum of queued work in each subtree. All operations are
// logarithmic in expectation. Its priorities come from a fixed generator, so
// that the same history gives the same tree.
type jobQueue struct {
	root *jobState
	rng  uint64
}

// treapNode is a job's place in its queue.
type treapNode struct {
	left, right *jobState
	prio        uint64
	work        int64 // queued work of the job
	sum         int64 // queued work of the subtree
}

func (j *jobState) before(o *jobState) bool {
	if j.key != o.key {
		return j.key < o.key
	}
	return j.seq < o.seq
}

func (j *jobState) pull() {
	j.node.sum = j.node.work
	if l := j.node.left; l != nil {
		j.node.sum += l.node.sum
	}
	if r := j.node.right; r != nil {
		j.node.sum += r.node.sum
	}
}

// insert adds a job that is not in the queue.
func (q *jobQueue) insert(j *jobState) {
	q.rng = q.rng*6364136223846793005 + 1442695040888963407
	j.node = treapNode{prio: q.rng >> 16, work: int64(j.queuedWork), sum: int64(j.queuedWork)}
	l, r := split(q.root, j)
	q.root = merge(merge(l, j), r)
}

// remove takes out a job that is in the queue.
func (q *jobQueue) remove(j *jobState) { q.root = remove(q.root, j) }

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
	t.pull()
	return t
}

// split parts t into the jobs before at and the others.
func split(t, at *jobState) (l, r *jobState) {
	if t == nil {
		return nil, nil
	}
	if t.before(at) {
		t.node.right, r = split(t.node.right, at)
		t.pull()
		return t, r
	}
	l, t.node.left = split(t.node.left, at)
	t.pull()
	return l, t
}

func merge(l, r *jobState) *jobState {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.node.prio > r.node.prio:
		l.node.right = merge(l.node.right, r)
		l.pull()
		return l
	}
	r.node.left = merge(l, r.node.left)
	r.pull()
	return r
}

// first returns the job with the lowest key, or nil.
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
		if t.key >= key {
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

// work returns all queued work.
func (q *jobQueue) work() int64 {
	if q.root == nil {
		return 0
	}
	return q.root.node.sum
}

// walk visits the jobs in order until visit returns false.
func (q *jobQueue) walk(visit func(*jobState) bool) { walk(q.root, visit) }

func walk(t *jobState, visit func(*jobState) bool) bool {
	if t == nil {
		return true
	}
	return walk(t.node.left, visit) && visit(t) && walk(t.node.right, visit)
}
