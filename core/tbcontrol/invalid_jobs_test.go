package tbcontrol_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbflow"
)

// A peer sends a job that its adapter has not checked, or that was damaged on the way. Storing the
// job would end the process of each replica. The leader refuses the job and goes on.
func TestInvalidJobsAreRefused(t *testing.T) {
	g := newFullGroup(t)
	config := tbflow.Config{Version: 2, Queues: []tbflow.Queue{{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 2}}}
	qt.Assert(t, g.ask(tbcontrol.ConfigPutRequested{Config: config}).Answer.Code, qt.Equals, tbcontrol.Done)
	for name, job := range map[string]tbflow.Job{
		"no steps":                {},
		"no tasks":                {Steps: []tbflow.Step{{}}},
		"too many tasks":          {Steps: []tbflow.Step{{Count: 1 << 62}}},
		"tasks overflow":          {Steps: []tbflow.Step{{Count: tbflow.MaxTasks}, {Count: tbflow.MaxTasks}}},
		"repetitions overflow":    {Repeat: 1 << 62, Steps: []tbflow.Step{{Count: 4}}},
		"negative repetitions":    {Repeat: -1, Steps: []tbflow.Step{{Count: 4}}},
		"depends on a later step": {Steps: []tbflow.Step{{Count: 1, DependsOn: []int{7}}}},
	} {
		job.ID = name
		answer := g.ask(tbcontrol.SubmitRequested{Submit: tbflow.Submit{Host: "h", Path: "/q/x", Job: job}}).Answer
		qt.Check(t, answer.Code, qt.Equals, tbcontrol.Invalid, qt.Commentf("%s", name))
	}
	valid := tbflow.Submit{Host: "h", Path: "/q/x", Job: tbflow.Job{ID: "x", Steps: []tbflow.Step{{Count: 1}}}}
	qt.Check(t, g.ask(tbcontrol.SubmitRequested{Submit: valid}).Answer.Code, qt.Equals, tbcontrol.Done)
}
