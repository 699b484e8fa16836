// Package record keeps the records of jobs with an idempotency key. A record is
// written before any task of its job starts, and contains the digest of the
// job's body, the epoch of its owner, and the workers that its tasks may have
// been sent to. The records are kept in memory by a quorum of holders. The
// package does no I/O and reads no clock: the caller transports the messages and
// passes the time. Nothing in it is safe for concurrent use.
//
// Invariants:
//
//   - An owner sends a start only after a quorum has stored its placement under
//     the owner's epoch.
//   - A plan only grows, and a holder that has promised an epoch refuses writes
//     of lower epochs. The replies of a quorum of promises therefore contain every
//     placement whose start is sent under a lower epoch, whether before or after
//     the promises.
//   - A restarted holder abstains from voting until it has copied the records of
//     a majority of the holders, or until every record that it lost has expired.
package record

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Majority returns the size of a quorum among n holders.
func Majority(n int) int { return n/2 + 1 }

// plan is the set of placements of a job. It only grows.
type plan []contract.Placement

// add adds the placements that the plan lacks, and returns their number.
func (p *plan) add(more []contract.Placement) int {
	before := len(*p)
	for _, pl := range more {
		if !slices.Contains(*p, pl) {
			*p = append(*p, pl)
		}
	}
	return len(*p) - before
}
