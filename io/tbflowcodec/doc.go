// Package tbflowcodec encodes the commands and the state of multi-step jobs in msgpack. The state
// includes the configuration, the workers and the measured interference. The package also encodes the
// requests to the leader and their answers.
//
// Structs are encoded as arrays in the order of their fields, so that the domain types need no tags.
// New fields must be appended at the end; otherwise stored data would be decoded into wrong fields.
package tbflowcodec
