package testbed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestFreeAddrDrawsEachPortOnce draws so many addresses that a repeat would be
// almost certain if FreeAddr did not remember earlier draws.
func TestFreeAddrDrawsEachPortOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addr, err := FreeAddr()
		must.NoError(t, err)
		must.False(t, seen[addr])
		seen[addr] = true
	}
}
