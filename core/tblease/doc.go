// Package tblease implements time-bounded leases between a grantor and its holders.
//
// A holder counts the duration of its lease from when it sent the request, a
// grantor from when it received the request. Both use monotonic clocks whose
// rates differ by at most a known bound. So the lease always ends at the holder
// before the grantor gives it to another.
package tblease
