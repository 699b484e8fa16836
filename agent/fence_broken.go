//go:build broken_gate

package agent

import "github.com/carawaylanding/carawaylanding/contract"

// startedTaskState reports a started task as fenced. It breaks the gate on
// purpose: a soak test of this build must detect the double start.
func startedTaskState(contract.TaskState) contract.TaskState { return contract.TaskFenced }
