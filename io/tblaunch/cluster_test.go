package tblaunch

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// freeAddresses once returned the same port twice for an instance: for its callers and for its proxy.
// The daemon could then not listen and never became ready. This happened to one of about 1,500
// instances.
func TestFreeAddressesAreDistinct(t *testing.T) {
	for range 20_000 {
		addresses, err := freeAddresses("127.0.9.1", 3)
		qt.Assert(t, err, qt.IsNil)
		distinct := map[string]bool{}
		for _, a := range addresses {
			distinct[a] = true
		}
		qt.Assert(t, distinct, qt.HasLen, 3, qt.Commentf("%v", addresses))
	}
}
