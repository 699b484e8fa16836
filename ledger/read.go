package ledger

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// readTimeout bounds the wait for a majority's answers.
const readTimeout = 5 * time.Second

// Read returns a job's rows as a majority of the control hosts merges them.
func Read(ctx context.Context, holders map[contract.HostID]Holder, id contract.JobID) ([]contract.OutcomeRow, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	replies := make(chan *contract.LedgerRows, len(holders))
	for _, h := range holders {
		go func() {
			reply, _ := h.Call(ctx, &contract.LedgerRead{Job: id})
			rows, _ := reply.(*contract.LedgerRows)
			replies <- rows
		}()
	}
	var answers [][]contract.OutcomeRow
	for range holders {
		if rows := <-replies; rows != nil {
			answers = append(answers, rows.Rows)
		}
		if len(answers) > len(holders)/2 {
			return MergeJob(answers...), nil
		}
	}
	return nil, contract.ErrNoQuorum.Refuse(time.Second, "%d of %d control hosts answered the read of the ledger", len(answers), len(holders))
}
