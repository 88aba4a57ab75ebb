package tbscenario

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// Env is what a scenario runs with.
type Env struct {
	// Binary is the path of the tamarackbarrow program.
	Binary string
	// Folder is empty at the start and is removed by the caller.
	Folder string
	Seed   uint64
}

// Scenario is one measurement.
type Scenario struct {
	Name  string
	About string
	Run   func(ctx context.Context, env Env, r *Report) error
}

// All returns every scenario in order of its name.
func All() []Scenario {
	all := []Scenario{
		{Name: "demo", About: "the whole path: calls, jobs, evictions and resumes with 7 entries", Run: runDemo},
		{Name: "overhead", About: "latency through an entry against a direct call", Run: runOverhead},
		{Name: "overload", About: "goodput, tail and refusals at up to four times the capacity", Run: runOverload},
		{Name: "orders", About: "at most one run for each keyed order under kills, silence and resends", Run: runOrders},
		{Name: "silent", About: "time until service is back after all open connections go silent", Run: runSilent},
		{Name: "drain", About: "planned stops of runners and entries cut off nothing", Run: runDrain},
		{Name: "rollout", About: "time until a bundle version is in force on all entries", Run: runRollout},
		{Name: "failover", About: "first commit after the leader is killed, ten times", Run: runFailover},
		{Name: "commits", About: "committed changes a second and syncs for each change", Run: runCommits},
		{Name: "batch", About: "work done by a backlog of mixed jobs against perfect packing", Run: runBatch},
		{Name: "longshort", About: "wait of short checks while long jobs fill the workers", Run: runLongShort},
		{Name: "urgent", About: "time until urgent tasks start on full workers", Run: runUrgent},
		{Name: "wavefaults", About: "workers, a rack and the leader lost while jobs are cancelled in waves", Run: runWaveFaults},
		{Name: "capacity", About: "slopes of state, traffic, processor time and memory", Run: runCapacity},
		{Name: "colocate", About: "services beside batch tasks whose slowdowns shift", Run: runColocate},
		{Name: "swing", About: "calls on time while demand swings within a second", Run: runSwing},
	}
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Run runs the scenario of that name.
func Run(ctx context.Context, name string, env Env) (*Report, error) {
	for _, s := range All() {
		if s.Name == name {
			r := &Report{Scenario: name, Seed: env.Seed}
			return r, s.Run(ctx, env, r)
		}
	}
	return nil, fmt.Errorf("scenario %q does not exist", name)
}
