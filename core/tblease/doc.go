// Package tblease implements time-bounded leases between a grantor and its holders.
//
// A holder counts the duration of its lease from when it sent the request. A
// grantor counts from when it received the request, which is later. Both use
// monotonic clocks, and allow for a bounded difference between the clocks' rates.
// So the lease has ended at the holder when it expires at the grantor.
package tblease
