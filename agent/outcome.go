package agent

import (
	"errors"
	"net"

	"github.com/carawaylanding/carawaylanding/contract"
)

// outcomeOfDialError says what a failed upstream call means for the work: a
// connection that was never made carried nothing.
func outcomeOfDialError(err error) contract.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.OutcomeNotRun
	}
	return contract.OutcomeUnknown
}
