package tbresource

// Amount is a resource vector: a quantity of each resource of an instance.
type Amount struct {
	// MilliProcessors is in thousandths of a processor. MemoryMB is in megabytes.
	MilliProcessors int64
	MemoryMB        int64
	Accelerators    int64
}

// MaxComponent is the largest component of a valid capacity. Sums over many instances stay far below the
// largest int64.
const MaxComponent = 1 << 40

// IsValidCapacity reports whether each component is between 0 and MaxComponent.
func (a Amount) IsValidCapacity() bool {
	for _, component := range [...]int64{a.MilliProcessors, a.MemoryMB, a.Accelerators} {
		if component < 0 || component > MaxComponent {
			return false
		}
	}
	return true
}

// Add returns the sum of a and b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliProcessors + b.MilliProcessors, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a minus b; components of the result may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliProcessors - b.MilliProcessors, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Fits reports whether no component of a exceeds that of free.
func (a Amount) Fits(free Amount) bool {
	return a.MilliProcessors <= free.MilliProcessors && a.MemoryMB <= free.MemoryMB && a.Accelerators <= free.Accelerators
}

// DominantShare returns the largest share that a component of a has in the same component of total.
// For example, half the memory is a share of 0.5. If total has none of a component of a, the share
// is 1.
func (a Amount) DominantShare(total Amount) float64 {
	return max(
		ratio(a.MilliProcessors, total.MilliProcessors),
		ratio(a.MemoryMB, total.MemoryMB),
		ratio(a.Accelerators, total.Accelerators),
	)
}

func ratio(part, total int64) float64 {
	switch {
	case part == 0:
		return 0
	case total == 0:
		return 1
	}
	return float64(part) / float64(total)
}
