// Package record keeps what must be known of a job with an idempotency key
// before any of its tasks starts: the digest of its body, its owner, and the
// workers that its tasks may have been sent to. The records are held in memory
// by a quorum of holders. The package is pure: the driver carries the messages
// and tells the time. Nothing in it is safe for concurrent use.
//
// Invariants:
//
//   - A start leaves its owner only after a quorum holds its placement under
//     the owner's epoch.
//   - A plan only grows. A quorum that has promised an epoch therefore returns
//     each placement whose start left before, and no start of a lower epoch
//     leaves after.
//   - A holder that restarted abstains until it holds what a majority of the
//     holders hold, or all that it forgot has expired.
package record

import (
	"slices"

	"github.com/carawaylanding/carawaylanding/contract"
)

// Majority returns the size of a quorum among n holders.
func Majority(n int) int { return n/2 + 1 }

// plan is a growing set of placements.
type plan []contract.Placement

// add adds what the set lacks, and returns by how much it grew.
func (p *plan) add(more []contract.Placement) int {
	had := len(*p)
	for _, pl := range more {
		if !slices.Contains(*p, pl) {
			*p = append(*p, pl)
		}
	}
	return len(*p) - had
}
