package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A daemon that was told to reload its settings while it started died of the signal. Here it
// waits at its settings, a pipe, when the signal comes, and refuses them afterwards.
func TestReloadWhileADaemonStartsDoesNotEndIt(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, syscall.Mkfifo(settings, 0o600), qt.IsNil)
	cmd := exec.Command(program("tamarackbarrow"), "serve", "--settings", settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(t, cmd.Start(), qt.IsNil)
	// Opening the pipe returns once the daemon has opened it too.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.WriteString("nonsense\n")
	qt.Check(t, err, qt.IsNil)
	qt.Assert(t, pipe.Close(), qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.ErrorMatches, "exit status .*")
}
