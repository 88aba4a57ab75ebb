// Package tbstore keeps the replicated log, the hard state and snapshots in one
// data folder.
//
// The log is a row of segment files. Each group of changes is one record with a
// length and a CRC-32C, written and synced before anything is promised. A group
// that was cut off by a crash is the last record of the last segment; it was
// never promised and is dropped. Damage anywhere else stops the start.
package tbstore
