//go:build broken_gate

package agent

import "github.com/carawaylanding/carawaylanding/contract"

// reported calls a task fenced that has started. It breaks the gate on purpose,
// so that the soak shows that it catches a double start.
func reported(contract.TaskState) contract.TaskState { return contract.TaskFenced }
