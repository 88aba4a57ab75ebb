// Package tbflowcodec encodes the commands and state of multi-step jobs, with their configuration,
// workers and interference, and the requests to the leader with their answers, in msgpack.
//
// Structs are encoded as arrays in the order of their fields, so that the domain types need no
// tags; new fields must be appended at the end.
package tbflowcodec
