package tbfleet

import (
	"fmt"
	"time"
)

// Other programs may send reports, too, and a worker may have a fault. A report that no worker can have sent
// must not reach the fleet: it may have the id of a worker, whose later reports would then count as
// outdated, or numbers whose sums overflow.

// Bounds of the fields of a report.
const (
	maxNameBytes  = 256
	maxLabels     = 64
	maxReportTime = 1 << 43 // milliseconds; as a time since 1970 in the year 2248
	maxSequence   = 1 << 53
	maxDrainTime  = 24 * time.Hour
)

// Validate returns an error that names the first invalid field of a report. Whether connections can be made
// to the address is checked where the report comes in.
func (r *Report) Validate() error {
	for _, name := range []struct{ field, value string }{
		{"id", r.ID}, {"class", r.Class}, {"data centre", r.DataCentre}, {"rack", r.Rack}, {"address", r.Address},
	} {
		if len(name.value) > maxNameBytes {
			return fmt.Errorf("%s has %d bytes, at most %d are allowed", name.field, len(name.value), maxNameBytes)
		}
	}
	if r.ID == "" || r.Class == "" {
		return fmt.Errorf("id %q and class %q must be given", r.ID, r.Class)
	}
	if len(r.Labels) > maxLabels {
		return fmt.Errorf("report has %d labels, at most %d are allowed", len(r.Labels), maxLabels)
	}
	for i, label := range r.Labels {
		if len(label) > maxNameBytes {
			return fmt.Errorf("label %d has %d bytes, at most %d are allowed", i, len(label), maxNameBytes)
		}
	}
	if !r.Capacity.IsValidCapacity() {
		return fmt.Errorf("capacity %+v has a component that is negative or too large", r.Capacity)
	}
	switch {
	case r.Incarnation < 1 || r.Incarnation > maxReportTime:
		return fmt.Errorf("incarnation is %d, must be 1 to %d", r.Incarnation, int64(maxReportTime))
	case r.ClockMs < 0 || r.ClockMs > maxReportTime:
		return fmt.Errorf("clock is %d ms, must be 0 to %d", r.ClockMs, int64(maxReportTime))
	case r.Sequence > maxSequence:
		return fmt.Errorf("sequence is %d, at most %d is allowed", r.Sequence, uint64(maxSequence))
	case r.DrainTimeLeft < 0 || r.DrainTimeLeft > maxDrainTime:
		return fmt.Errorf("remaining time is %s, must be 0 to %s", r.DrainTimeLeft, maxDrainTime)
	}
	return nil
}
