package tbscenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// Env is the environment of a scenario.
type Env struct {
	// Binary is the path of the tamarackbarrow program.
	Binary string
	// Folder holds the files of the deployments. It is empty at the start, and the caller removes it.
	Folder string
	// Seed makes the random draws of a scenario repeatable.
	Seed uint64
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// Description says in one line what the scenario measures.
	Description string
	// Run measures the scenario and adds its figures to r.
	Run func(ctx context.Context, env Env, r *Report) error
}

// All returns all scenarios, sorted by name.
func All() []Scenario {
	all := []Scenario{
		{Name: "demo", Description: "end to end: calls, jobs, evictions and resumes with 7 entries", Run: runDemo},
		{Name: "overhead", Description: "latency of calls through an entry compared with direct calls", Run: runOverhead},
		{Name: "overload", Description: "goodput, tail latency and refusals at up to four times the capacity", Run: runOverload},
		{Name: "orders", Description: "at most one execution of each keyed order under kills, silent connections and resends", Run: runOrders},
		{Name: "silent", Description: "recovery time after all open connections go silent", Run: runSilent},
		{Name: "drain", Description: "planned stops of runners and entries interrupt no call", Run: runDrain},
		{Name: "rollout", Description: "time until a bundle version is in force on all entries", Run: runRollout},
		{Name: "failover", Description: "first commit after the leader is killed, ten times", Run: runFailover},
		{Name: "commits", Description: "committed changes per second and disk syncs per change", Run: runCommits},
		{Name: "batch", Description: "processor time used by a backlog of mixed jobs compared with perfect packing", Run: runBatch},
		{Name: "longshort", Description: "waiting time of short jobs while long jobs fill the workers", Run: runLongShort},
		{Name: "urgent", Description: "time until urgent tasks start on full workers", Run: runUrgent},
		{Name: "wavefaults", Description: "failures of workers, a rack and the leader while jobs are cancelled in bulk", Run: runJobFaults},
		{Name: "capacity", Description: "growth of state, traffic, processor time and memory with size", Run: runCapacity},
		{Name: "colocate", Description: "services co-located with batch tasks whose interference changes", Run: runColocate},
		{Name: "swing", Description: "calls answered on time while demand changes within a second", Run: runSwing},
	}
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Run runs the scenario with the given name. If the scenario fails, the report holds the figures that
// were added before the error.
func Run(ctx context.Context, name string, env Env) (*Report, error) {
	for _, s := range All() {
		if s.Name == name {
			r := &Report{Scenario: name, Seed: env.Seed}
			return r, s.Run(ctx, env, r)
		}
	}
	return nil, fmt.Errorf("unknown scenario %q", name)
}
