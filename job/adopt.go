package job

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/host"
)

// Adopt records that an earlier owner may have sent the attempt at task i to
// w. It is called before any other event of the job.
func (j *Job) Adopt(i uint32, w host.Ref, attempt uint32) {
	t := j.task(i)
	if t == nil || t.phase > phaseAsked {
		return
	}
	t.phase = phaseAsked
	t.attempt = max(t.attempt, attempt)
	if !slices.Contains(t.asked, w) {
		t.asked = append(t.asked, w)
	}
}

// Started records that w says that it has started task i, for another owner.
func (j *Job) Started(i uint32, w host.Ref) {
	t := j.task(i)
	if t == nil || t.phase != phaseAsked || !slices.Contains(t.asked, w) {
		return
	}
	t.phase = phaseSent
	t.worker = w
	t.asked = nil
	t.unsure = false
}

func (j *Job) unasked(i uint32, w host.Ref) bool {
	t := j.task(i)
	if t == nil || t.phase != phaseAsked || !slices.Contains(t.asked, w) {
		return false
	}
	t.asked = slices.DeleteFunc(t.asked, func(a host.Ref) bool { return a == w })
	if len(t.asked) > 0 {
		return false
	}
	return j.requeue(t)
}

// Held returns the tasks that w may hold without an end, each with the last
// attempt that may have been sent.
func (j *Job) Held(w host.Ref) (ids []contract.TaskID, attempts []uint32) {
	for i := range j.tasks {
		t := &j.tasks[i]
		sent := t.phase == phaseSent && t.worker == w
		if sent || t.phase == phaseAsked && slices.Contains(t.asked, w) {
			ids = append(ids, contract.TaskID{Job: j.id, Index: uint32(i)})
			attempts = append(attempts, t.attempt)
		}
	}
	return ids, attempts
}

// Holders returns the workers that hold tasks without an end.
func (j *Job) Holders() []host.Ref {
	seen := make(map[host.Ref]bool)
	var out []host.Ref
	for i := range j.tasks {
		t := &j.tasks[i]
		holders := t.asked
		if t.phase == phaseSent {
			holders = []host.Ref{t.worker}
		}
		for _, w := range holders {
			if !seen[w] {
				seen[w] = true
				out = append(out, w)
			}
		}
	}
	return out
}

// Unknown returns the tasks that ended as unknown at w, as Held does.
func (j *Job) Unknown(w host.Ref) (ids []contract.TaskID, attempts []uint32) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == phaseEnded && t.worker == w && t.result.Outcome == contract.OutcomeUnknown {
			ids = append(ids, contract.TaskID{Job: j.id, Index: uint32(i)})
			attempts = append(attempts, t.attempt)
		}
	}
	return ids, attempts
}

// Resolve makes a task that ended as unknown at w known, and reports whether
// it did. The job's answer stays as it was.
func (j *Job) Resolve(i uint32, w host.Ref, o contract.Outcome, status int, reason string) bool {
	t := j.task(i)
	if t == nil || t.phase != phaseEnded || t.worker != w || t.result.Outcome != contract.OutcomeUnknown || o == contract.OutcomeUnknown {
		return false
	}
	if t.unsure && o == contract.OutcomeNotRun {
		return false // another worker may have started it
	}
	t.result.Outcome = o
	t.result.Status = status
	t.result.Reason = reason
	j.ended = append(j.ended, t.result.Task)
	return true
}
