// Package contract defines the types that the processes share: identities,
// routes and pools, jobs and tasks, outcomes, typed errors, and the messages
// that the processes exchange. It has no I/O and no state.
package contract
