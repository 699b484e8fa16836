package agent

import (
	"errors"
	"net"

	"github.com/carawaylanding/carawaylanding/contract"
)

// outcomeOfFailedCall returns the outcome of a task whose upstream call failed
// with err: OutcomeNotRun if no connection was established, since no request was
// sent then, otherwise OutcomeUnknown.
func outcomeOfFailedCall(err error) contract.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.OutcomeNotRun
	}
	return contract.OutcomeUnknown
}
