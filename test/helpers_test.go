package test

import (
	"context"
	"errors"
	"os/exec"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tblaunch"
	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproxy"
)

// runTool runs the command-line tool, checks its exit status and returns its output.
func runTool(t *testing.T, wantStatus int, args ...string) string {
	t.Helper()
	out, err := exec.Command(programPath("tamarackbarrow"), args...).CombinedOutput()
	exitStatus := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		exitStatus = exit.ExitCode()
	}
	qt.Assert(t, exitStatus, qt.Equals, wantStatus, qt.Commentf("%v: %s", args, out))
	return string(out)
}

func groupStatus(t *testing.T, ctx context.Context, in *tblaunch.Instance) *pb.StatusResponse {
	t.Helper()
	answer, err := in.Operator().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	qt.Assert(t, err, qt.IsNil)
	return answer.Msg
}

// waitUntil checks a condition repeatedly until the condition holds. It fails the test if ctx ends
// first.
func waitUntil(t *testing.T, ctx context.Context, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-ctx.Done():
			t.Fatal("condition not met before the test's deadline")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// setPartition starts or ends a partition between an instance and all others. If partitioned is
// true, it drops all traffic between them without closing connections. If partitioned is false, it
// restores the traffic and closes the old connections.
func setPartition(c *tblaunch.Cluster, isolated *tblaunch.Instance, partitioned bool) {
	for _, in := range c.Instances {
		if in == isolated {
			continue
		}
		isolated.Proxy.SetFault(in.SourceIP, tbproxy.Fault{DropAll: partitioned})
		in.Proxy.SetFault(isolated.SourceIP, tbproxy.Fault{DropAll: partitioned})
		if !partitioned {
			in.Proxy.CloseConnections(isolated.SourceIP)
		}
	}
	if !partitioned {
		isolated.Proxy.CloseConnections(tbproxy.AnySource)
	}
}
