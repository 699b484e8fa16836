package contract

import "time"

// OutcomeRecord is one record of the outcome ledger: the outcome of one task. A task
// can have several records, for example an unknown outcome and later a known one.
// Package ledger merges them; a final outcome never becomes unknown again.
type OutcomeRecord struct {
	Task    TaskID  `json:"task"`
	Team    string  `json:"team"`
	Route   string  `json:"route"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	// Worker and Incarnation identify the process that the task was last sent to;
	// empty if it was sent to none.
	Worker      HostID      `json:"worker,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	Attempt     uint32      `json:"attempt,omitempty"`
	// Round is the round of the owner of a job with an idempotency key, and zero
	// for other jobs. A resubmission starts the tasks that were not run under a
	// later round.
	Round uint64 `json:"round,omitempty"`
	// PossibleDuplicate is set if an earlier attempt of an idempotent request may
	// have run too.
	PossibleDuplicate bool `json:"unsure,omitempty"`
	// Entry is the host that wrote the record.
	Entry  HostID    `json:"entry"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
}

// AnswerSample holds the measurements of one answer to a caller.
type AnswerSample struct {
	Route string
	Team  string
	// Total is the time from the request's arrival to its answer.
	Total time.Duration
	// Work is the time that the work itself took, which is that of its longest
	// task.
	Work time.Duration
	// Outcome and Kind are those of the answer; Kind is the name of the error
	// kind, and empty for an answer without an error.
	Outcome Outcome
	Kind    string
}

// Lag returns the time that the answer took beyond the work itself.
func (s AnswerSample) Lag() time.Duration { return max(0, s.Total-s.Work) }
