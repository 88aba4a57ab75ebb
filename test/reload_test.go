package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReloadWhileADaemonStartsDoesNotEndIt guards against SIGHUP ending a daemon that is still
// starting. The settings file is a pipe, so the daemon is reading it when the signal arrives; it
// then refuses the settings and exits with an exit status instead of being ended by the signal.
func TestReloadWhileADaemonStartsDoesNotEndIt(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, syscall.Mkfifo(settings, 0o600), qt.IsNil)
	cmd := exec.Command(program("tamarackbarrow"), "serve", "--settings", settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(t, cmd.Start(), qt.IsNil)
	// Opening the pipe returns only when the daemon has opened it too.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.WriteString("nonsense\n")
	qt.Check(t, err, qt.IsNil)
	qt.Assert(t, pipe.Close(), qt.IsNil)
	qt.Check(t, cmd.Wait(), qt.ErrorMatches, "exit status .*")
}
