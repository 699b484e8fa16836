package ledger

import (
	"context"
	"time"

	"github.com/carawaylanding/carawaylanding/contract"
)

// readTimeout limits the wait for the replies of a majority.
const readTimeout = 5 * time.Second

// Read returns a job's rows, merged from the replies of a majority of the control
// hosts. It returns ErrNoQuorum if no majority replies.
func Read(ctx context.Context, replicas map[contract.HostID]ReplicaClient, id contract.JobID) ([]contract.OutcomeRow, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	results := make(chan *contract.LedgerRows, len(replicas))
	for _, r := range replicas {
		go func() {
			reply, _ := r.Call(ctx, &contract.LedgerRead{Job: id})
			rows, _ := reply.(*contract.LedgerRows)
			results <- rows
		}()
	}
	var replies [][]contract.OutcomeRow
	for range replicas {
		if rows := <-results; rows != nil {
			replies = append(replies, rows.Rows)
		}
		if len(replies) > len(replicas)/2 {
			return MergeJob(replies...), nil
		}
	}
	return nil, contract.ErrNoQuorum.WithRetryAfter(time.Second, "%d of %d control hosts answered the read of the ledger", len(replies), len(replicas))
}
