package contract

import (
	"encoding/json"
	"time"
)

// Limits on a job as a caller submits it.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 150
	// MaxPayloadBytes is the largest payload of one task.
	MaxPayloadBytes = 1 << 20
	// MaxJobBytes is the largest body of a job submission.
	MaxJobBytes = 16 << 20
	// MaxDemand is the largest value of any field of a Demand.
	MaxDemand = 1 << 30
	// MaxDeadline is the longest deadline that a job may request.
	MaxDeadline = 10 * time.Minute
	// DefaultDeadline is the deadline of a job that requests none.
	DefaultDeadline = 30 * time.Second
)

// Demand is the resources that one task uses on a worker while it runs. The
// values are declared by the caller and may be far from the actual use.
type Demand struct {
	// Slots is the number of slots; zero means one.
	Slots int `json:"slots,omitempty"`
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int `json:"milli_cpu,omitempty"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int `json:"memory_mb,omitempty"`
	// Accelerators is the number of accelerators.
	Accelerators int `json:"accelerators,omitempty"`
	// DeclaredMillis is the declared run time in milliseconds; zero means
	// undeclared.
	DeclaredMillis int `json:"declared_ms,omitempty"`
}

// Capacity is the resources that a worker offers. A zero MilliCPU or MemoryMB
// means no limit.
type Capacity struct {
	Slots        int `json:"slots"`
	MilliCPU     int `json:"milli_cpu,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// HasRoomFor reports whether the capacity, of a worker of durable jobs or what is free of
// it, covers the CPU, memory and accelerators of the demand. Unlike in Fits, zero means
// none.
func (c Capacity) HasRoomFor(d Demand) bool {
	return d.MilliCPU <= c.MilliCPU && d.MemoryMB <= c.MemoryMB && d.Accelerators <= c.Accelerators
}

// Covers reports whether the capacity is at least the other one in CPU, memory and
// accelerators.
func (c Capacity) Covers(o Capacity) bool {
	return o.MilliCPU <= c.MilliCPU && o.MemoryMB <= c.MemoryMB && o.Accelerators <= c.Accelerators
}

// Normalized returns d with defaults in place of zero values.
func (d Demand) Normalized() Demand {
	if d.Slots == 0 {
		d.Slots = 1
	}
	return d
}

// Fits reports whether the demand fits into an empty worker of capacity c.
func (c Capacity) Fits(d Demand) bool {
	d = d.Normalized()
	if d.Slots > c.Slots || d.Accelerators > c.Accelerators {
		return false
	}
	if c.MilliCPU > 0 && d.MilliCPU > c.MilliCPU {
		return false
	}
	return c.MemoryMB == 0 || d.MemoryMB <= c.MemoryMB
}

// TaskSpec is one task as a caller submits it.
type TaskSpec struct {
	Payload json.RawMessage `json:"payload"`
	Demand
}

// JobSpec is the body of POST /v1/jobs.
type JobSpec struct {
	Route      string     `json:"route"`
	Team       string     `json:"team"`
	DeadlineMS int        `json:"deadline_ms,omitempty"`
	Tasks      []TaskSpec `json:"tasks"`
}

// Deadline returns the job's deadline, relative to its admission.
func (s JobSpec) Deadline() time.Duration {
	if s.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DeadlineMS) * time.Millisecond
}

// Validate returns nil if the submission is valid. Otherwise it returns an
// ErrBadRequest for the first invalid field, with a message that says how to
// correct it.
func (s JobSpec) Validate() error {
	if s.Route == "" {
		return ErrBadRequest.With("route is empty: name a route of the routes table")
	}
	if s.Team == "" {
		return ErrBadRequest.With("team is empty: name the team that the job is charged to")
	}
	if s.DeadlineMS < 0 || int64(s.DeadlineMS) > MaxDeadline.Milliseconds() {
		return ErrBadRequest.With("deadline_ms is %d: give 1 to %d, or leave it out", s.DeadlineMS, MaxDeadline.Milliseconds())
	}
	if len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks {
		return ErrBadRequest.With("the job has %d tasks: give 1 to %d", len(s.Tasks), MaxTasks)
	}
	for i, t := range s.Tasks {
		if err := t.validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (t TaskSpec) validate(i int) error {
	if len(t.Payload) > MaxPayloadBytes {
		return ErrBadRequest.With("task %d: the payload has %d bytes: give at most %d", i, len(t.Payload), MaxPayloadBytes)
	}
	for _, v := range []int{t.Slots, t.MilliCPU, t.MemoryMB, t.Accelerators, t.DeclaredMillis} {
		if v < 0 || v > MaxDemand {
			return ErrBadRequest.With("task %d: a demand is %d: give 0 to %d", i, v, MaxDemand)
		}
	}
	return nil
}

// TaskResult is the result of one task, in a job's answer or status.
type TaskResult struct {
	Task    uint32  `json:"task"`
	Outcome Outcome `json:"outcome"`
	Status  int     `json:"status,omitempty"`
	Worker  HostID  `json:"worker,omitempty"`
	Body    []byte  `json:"-"`
	// Elapsed is how long the upstream worked on the task.
	Elapsed time.Duration `json:"-"`
	// Attempt is the number of starts that may have been sent to a worker.
	Attempt uint32 `json:"attempt,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// JobState is the state of a job as shown to its caller.
type JobState string

// The states of a job.
const (
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
)

// JobStatus is the body of GET /v1/jobs/{id}.
type JobStatus struct {
	ID      JobID        `json:"id"`
	State   JobState     `json:"state"`
	Outcome Outcome      `json:"outcome"`
	Tasks   []TaskResult `json:"tasks"`
}
