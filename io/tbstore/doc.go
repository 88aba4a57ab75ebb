// Package tbstore stores the replicated log, the hard state and snapshots in one
// data folder.
//
// The log is a sequence of segment files. Each append writes one record with a length and a
// CRC-32C, and syncs it before the replica acknowledges anything in it. A record that a crash
// cut off is the last one of the last segment; it was never acknowledged and is truncated.
// Corruption anywhere else makes Open fail.
package tbstore
