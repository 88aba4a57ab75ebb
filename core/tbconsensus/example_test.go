package tbconsensus_test

import (
	"fmt"
	"time"

	"tamarackbarrow/core/tbconsensus"
)

// A group of one replica commits an entry as soon as the local disk has synced it.
func Example() {
	now := time.Unix(100, 0)
	cfg := tbconsensus.Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1 << 20, ChunkBytes: 1 << 16,
	}
	group := tbconsensus.Membership{Members: []tbconsensus.Member{{ID: 1, Address: "10.0.0.1:7001"}}}
	r := tbconsensus.New(cfg, tbconsensus.PersistedState{Initial: group}, now)
	now = now.Add(3 * time.Second)
	r.Tick(now)
	r.Propose(now, [][]byte{[]byte("hello")})
	out := r.Take()
	last := out.Entries[len(out.Entries)-1]
	fmt.Println(r.Role(), "saves", len(out.Entries), "entries, applies", len(out.Committed))
	r.ReportPersisted(now, last.Term, last.Index)
	for _, e := range r.Take().Committed {
		fmt.Printf("applies entry %d: %q\n", e.Index, e.Data)
	}
	// Output:
	// leader saves 2 entries, applies 0
	// applies entry 1: ""
	// applies entry 2: "hello"
}
