package tbresource

// Amount is a quantity of each resource of an instance.
type Amount struct {
	// MilliProcessors is in thousandths of a processor.
	MilliProcessors int64
	MemoryMB        int64
	Accelerators    int64
}

// Add returns the sum of both amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliProcessors + b.MilliProcessors, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a less b; a part may become negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliProcessors - b.MilliProcessors, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Fits reports whether each part of a is at most that of room.
func (a Amount) Fits(room Amount) bool {
	return a.MilliProcessors <= room.MilliProcessors && a.MemoryMB <= room.MemoryMB && a.Accelerators <= room.Accelerators
}

// Share returns the largest part of a as a share of whole, for example 0.5 for half the memory.
func (a Amount) Share(whole Amount) float64 {
	return max(
		ratio(a.MilliProcessors, whole.MilliProcessors),
		ratio(a.MemoryMB, whole.MemoryMB),
		ratio(a.Accelerators, whole.Accelerators),
	)
}

func ratio(part, whole int64) float64 {
	switch {
	case part == 0:
		return 0
	case whole == 0:
		return 1
	}
	return float64(part) / float64(whole)
}
