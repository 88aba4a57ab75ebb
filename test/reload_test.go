package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReloadWhileADaemonStartsDoesNotEndIt checks that SIGHUP does not end a daemon that is still
// starting. The settings file is a pipe, so the daemon is still reading the settings when the signal
// arrives. The daemon must then refuse the invalid settings and exit by itself. The signal must not
// kill the daemon.
func TestReloadWhileADaemonStartsDoesNotEndIt(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.toml")
	qt.Assert(t, syscall.Mkfifo(settings, 0o600), qt.IsNil)
	cmd := exec.Command(programPath("tamarackbarrow"), "serve", "--settings", settings)
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
