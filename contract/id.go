package contract

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// HostID identifies a host or worker. It is stable across restarts.
type HostID string

// Incarnation distinguishes the successive processes of one host. It is chosen
// at random when a process starts and is never zero.
type Incarnation uint64

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		rand.Read(b[:])
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return Incarnation(v)
		}
	}
}

// JobID identifies one job, across all of its resubmissions.
type JobID string

// jobIDBytes is the number of random or digest bytes in a JobID.
const jobIDBytes = 16

// NewJobID returns a random JobID, for a job without an idempotency key.
func NewJobID() JobID {
	var b [jobIDBytes]byte
	rand.Read(b[:])
	return JobID("j" + hex.EncodeToString(b[:]))
}

// KeyedJobID derives the JobID of a job from its team and idempotency key, so
// that every resubmission has the same JobID on every entry.
func KeyedJobID(team, key string) JobID {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + key))
	return JobID("k" + hex.EncodeToString(sum[:jobIDBytes]))
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID
	Index uint32
}

// String returns the form "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.FormatUint(uint64(t.Index), 10)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, index, ok := strings.Cut(s, "/")
	if !ok || job == "" {
		return TaskID{}, fmt.Errorf("task ID %q: want JOB/INDEX", s)
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil {
		return TaskID{}, fmt.Errorf("task ID %q: want JOB/INDEX", s)
	}
	return TaskID{Job: JobID(job), Index: uint32(n)}, nil
}

// Version is a version of the routes and pools tables. Every accepted edit
// increases it; zero is the empty state before the first edit.
type Version uint64

// EditID identifies one edit, so that a resent edit is not applied again and
// gets the answer to the first one.
type EditID string
