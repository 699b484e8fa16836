//go:build !broken_gate

package agent

import "github.com/carawaylanding/carawaylanding/contract"

// startedTaskState returns the state that the agent reports for a task that has
// started: its state at the gate. The build tag broken_gate replaces it with a
// faulty version.
func startedTaskState(s contract.TaskState) contract.TaskState { return s }
