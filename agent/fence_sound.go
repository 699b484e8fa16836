//go:build !broken_gate

package agent

import "github.com/carawaylanding/carawaylanding/contract"

// reported is what the agent tells about a task that has started.
func reported(s contract.TaskState) contract.TaskState { return s }
