// Package tbstore stores the replicated log, the hard state and snapshots in one data folder.
//
// The log is a sequence of segment files. Each append writes one record with a length and a CRC-32C.
// The record is synced before the replica acknowledges anything in it.
//
// A crash can cut off only the last record of the last segment. This record was never acknowledged,
// and Open truncates it. Corruption anywhere else makes Open fail.
package tbstore
