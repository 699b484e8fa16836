package testbed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestFreeAddrDrawsEachPortOnce draws so many that a repeat would be all but
// certain without the memory of earlier draws.
func TestFreeAddrDrawsEachPortOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addr, err := FreeAddr()
		must.NoError(t, err)
		must.False(t, seen[addr])
		seen[addr] = true
	}
}
