package test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tbscenario"
)

// programFolder is the path of the folder with the executables that TestMain builds.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "tamarackbarrow-test-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder, "tamarackbarrow/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	programFolder = folder
	return m.Run()
}

func programPath(name string) string { return filepath.Join(programFolder, name) }

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func TestDemoKeepsEveryPromise(t *testing.T) {
	env := tbscenario.Env{Binary: programPath("tamarackbarrow"), Folder: t.TempDir(), Seed: 1}
	report, err := tbscenario.Run(testContext(t), "demo", env)
	qt.Assert(t, err, qt.IsNil)
	for _, f := range report.Figures {
		qt.Check(t, f.Met, qt.IsTrue, qt.Commentf("figure %s is %v, want %s %v", f.Name, f.Value, f.Compare, f.Bound))
	}
	qt.Check(t, report.Notes, qt.HasLen, 0)
}
