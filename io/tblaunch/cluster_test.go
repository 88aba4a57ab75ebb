package tblaunch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An instance's proxy could get the port that was chosen for the instance's callers. The daemon could
// not listen on that port and never became ready. This happened to one of about 1,500 instances.
func TestFreeAddressesAreDistinct(t *testing.T) {
	for range 20_000 {
		addresses, err := freeAddresses("127.0.9.1", 3)
		qt.Assert(t, err, qt.IsNil)
		seen := map[string]bool{}
		for _, a := range addresses {
			seen[a] = true
		}
		qt.Assert(t, seen, qt.HasLen, 3, qt.Commentf("%v", addresses))
	}
}
