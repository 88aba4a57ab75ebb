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
	// Folder is empty at the start and is removed by the caller.
	Folder string
	// Seed makes the random draws of a scenario repeatable.
	Seed uint64
}

// Scenario is one measurement.
type Scenario struct {
	Name string
	// About is a one-line description.
	About string
	// Run measures the scenario and adds its figures to r.
	Run func(ctx context.Context, env Env, r *Report) error
}

// All returns all scenarios, sorted by name.
func All() []Scenario {
	all := []Scenario{
		{Name: "demo", About: "end to end: calls, jobs, evictions and resumes with 7 entries", Run: runDemo},
		{Name: "overhead", About: "latency of calls through an entry compared with direct calls", Run: runOverhead},
		{Name: "overload", About: "goodput, tail latency and refusals at up to four times the capacity", Run: runOverload},
		{Name: "orders", About: "at most one execution of each keyed order under kills, silent connections and resends", Run: runOrders},
		{Name: "silent", About: "recovery time after all open connections go silent", Run: runSilent},
		{Name: "drain", About: "planned stops of runners and entries interrupt no call", Run: runDrain},
		{Name: "rollout", About: "time until a bundle version is in force on all entries", Run: runRollout},
		{Name: "failover", About: "first commit after the leader is killed, ten times", Run: runFailover},
		{Name: "commits", About: "committed changes per second and disk syncs per change", Run: runCommits},
		{Name: "batch", About: "processor time used by a backlog of mixed jobs compared with perfect packing", Run: runBatch},
		{Name: "longshort", About: "waiting time of short jobs while long jobs fill the workers", Run: runLongShort},
		{Name: "urgent", About: "time until urgent tasks start on full workers", Run: runUrgent},
		{Name: "wavefaults", About: "failures of workers, a rack and the leader while jobs are cancelled in bulk", Run: runWaveFaults},
		{Name: "capacity", About: "growth of state, traffic, processor time and memory with size", Run: runCapacity},
		{Name: "colocate", About: "services co-located with batch tasks whose interference changes", Run: runColocate},
		{Name: "swing", About: "calls answered on time while demand changes within a second", Run: runSwing},
	}
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Run runs the scenario with the given name; the report holds the figures up to a possible error.
func Run(ctx context.Context, name string, env Env) (*Report, error) {
	for _, s := range All() {
		if s.Name == name {
			r := &Report{Scenario: name, Seed: env.Seed}
			return r, s.Run(ctx, env, r)
		}
	}
	return nil, fmt.Errorf("unknown scenario %q", name)
}
