package tbflow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

func TestTaskRefString(t *testing.T) {
	qt.Check(t, tbflow.TaskRef{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}.String(), qt.Equals, "5c0e7a21d94b36f8.0.1.17")
	qt.Check(t, tbflow.TaskRef{}.String(), qt.Equals, ".0.0.0")
	qt.Check(t, tbflow.TaskRef{Job: "j", Occurrence: -1, Step: 20, Index: 1 << 40}.String(), qt.Equals, "j.-1.20.1099511627776")
}

func BenchmarkTaskRefString(b *testing.B) {
	ref := tbflow.TaskRef{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	b.ReportAllocs()
	for b.Loop() {
		if len(ref.String()) != 23 {
			b.Fatal(ref.String())
		}
	}
}
