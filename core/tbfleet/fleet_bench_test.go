package tbfleet_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackbarrow/core/tbfleet"
)

// newFleetWithReports returns a fleet of workers that have reported once, and their reports.
func newFleetWithReports(count int) (*tbfleet.Fleet, []tbfleet.Report) {
	f := tbfleet.New(params, 1)
	now := time.UnixMilli(1_700_000_000_000)
	var reports []tbfleet.Report
	for i := range count {
		r := tbfleet.Report{ID: fmt.Sprintf("i-%010x", i*2654435761), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1}
		f.HandleReport(now, r)
		reports = append(reports, r)
	}
	return f, reports
}

func BenchmarkHandleReport(b *testing.B) {
	for _, count := range []int{40, 350, 1100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, reports := newFleetWithReports(count)
			now := time.UnixMilli(1_700_000_001_000)
			for i := 0; b.Loop(); i++ {
				r := &reports[i%count]
				r.Sequence++
				if !f.HandleReport(now, *r) {
					b.Fatal("report is outdated")
				}
			}
		})
	}
}

func BenchmarkWorkers(b *testing.B) {
	for _, count := range []int{40, 350, 1100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, _ := newFleetWithReports(count)
			b.ReportAllocs()
			for b.Loop() {
				if len(f.Workers()) != count {
					b.Fatal("a worker is missing")
				}
			}
		})
	}
}
