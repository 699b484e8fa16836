package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Adopt records that an earlier owner of the job may have sent the attempt at
// task i to w. It must be called before any other event of the job is recorded.
func (j *Job) Adopt(i uint32, w host.Ref, attempt uint32) {
	t := j.task(i)
	if t == nil || t.phase > phaseAdopted {
		return
	}
	t.phase = phaseAdopted
	t.attempt = max(t.attempt, attempt)
	if !slices.Contains(t.possibleWorkers, w) {
		t.possibleWorkers = append(t.possibleWorkers, w)
	}
}

// Started records a report by w that it has started task i. If the task is adopted
// and w is one of its possible workers, the task then counts as sent to w.
func (j *Job) Started(i uint32, w host.Ref) {
	t := j.task(i)
	if t == nil || t.phase != phaseAdopted || !slices.Contains(t.possibleWorkers, w) {
		return
	}
	t.phase = phaseSent
	t.worker = w
	t.possibleWorkers = nil
	t.mayHaveRun = false
}

// excludeWorker removes w from the possible workers of the adopted task i, because
// w has fenced the task or is lost. If no possible worker is left, it calls
// requeue. It reports whether the task was queued.
func (j *Job) excludeWorker(i uint32, w host.Ref) bool {
	t := j.task(i)
	if t == nil || t.phase != phaseAdopted || !slices.Contains(t.possibleWorkers, w) {
		return false
	}
	t.possibleWorkers = slices.DeleteFunc(t.possibleWorkers, func(ref host.Ref) bool { return ref == w })
	if len(t.possibleWorkers) > 0 {
		return false
	}
	return j.requeue(t)
}

// UnfinishedAt returns the unfinished tasks that w may have received, and for each
// the number of the last attempt that may have been sent.
func (j *Job) UnfinishedAt(w host.Ref) (ids []contract.TaskID, attempts []uint32) {
	for i := range j.tasks {
		t := &j.tasks[i]
		sent := t.phase == phaseSent && t.worker == w
		if sent || t.phase == phaseAdopted && slices.Contains(t.possibleWorkers, w) {
			ids = append(ids, contract.TaskID{Job: j.id, Index: uint32(i)})
			attempts = append(attempts, t.attempt)
		}
	}
	return ids, attempts
}

// ActiveWorkers returns the workers that may have received unfinished tasks.
func (j *Job) ActiveWorkers() []host.Ref {
	seen := make(map[host.Ref]bool)
	var out []host.Ref
	for i := range j.tasks {
		t := &j.tasks[i]
		workers := t.possibleWorkers
		if t.phase == phaseSent {
			workers = []host.Ref{t.worker}
		}
		for _, w := range workers {
			if !seen[w] {
				seen[w] = true
				out = append(out, w)
			}
		}
	}
	return out
}

// UnknownAt returns the tasks that ended as unknown at w, and for each the number
// of the last attempt that may have been sent.
func (j *Job) UnknownAt(w host.Ref) (ids []contract.TaskID, attempts []uint32) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseEnded && t.worker == w && t.result.Outcome == contract.OutcomeUnknown {
			ids = append(ids, contract.TaskID{Job: j.id, Index: uint32(i)})
			attempts = append(attempts, t.attempt)
		}
	}
	return ids, attempts
}

// Resolve sets the outcome of task i to o if the task ended as unknown at w and o
// is a known outcome, and reports whether it did. It does not accept not-run if
// another worker may have started the task. The job's failure does not change.
func (j *Job) Resolve(i uint32, w host.Ref, o contract.Outcome, status int, reason string) bool {
	t := j.task(i)
	if t == nil || t.phase != phaseEnded || t.worker != w || t.result.Outcome != contract.OutcomeUnknown || o == contract.OutcomeUnknown {
		return false
	}
	if t.mayHaveRun && o == contract.OutcomeNotRun {
		return false
	}
	t.result.Outcome = o
	t.result.Status = status
	t.result.Reason = reason
	j.newlyEnded = append(j.newlyEnded, t.result.Task)
	return true
}
