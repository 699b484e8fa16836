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

// HostID names a host or worker; it is stable across restarts.
type HostID string

// Incarnation distinguishes the successive processes of one host. It is drawn
// at random when a process starts and is never zero.
type Incarnation uint64

// NewIncarnation draws an incarnation from the system's random source.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		rand.Read(b[:])
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return Incarnation(v)
		}
	}
}

// JobID names one job for its whole life, across resubmissions.
type JobID string

// jobIDBytes is the number of bytes of randomness or digest in a JobID.
const jobIDBytes = 16

// NewJobID draws a JobID for a job without an idempotency key.
func NewJobID() JobID {
	var b [jobIDBytes]byte
	rand.Read(b[:])
	return JobID("j" + hex.EncodeToString(b[:]))
}

// KeyedJobID derives the JobID of a job with an idempotency key, so that each
// resubmission of the team's key names the same job on every entry.
func KeyedJobID(team, key string) JobID {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(team)) + ":" + team + key))
	return JobID("k" + hex.EncodeToString(sum[:jobIDBytes]))
}

// TaskID names one task of a job.
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

// Version numbers the accepted edits of the two tables; zero is the empty
// state before the first edit.
type Version uint64

// EditID names one edit, so that a resent edit gets its first answer.
type EditID string
