// Package tbpeer connects the system's processes by drpc over TCP.
//
// A connection carries one request at a time and is dropped, with all idle ones
// to the same address, as soon as a request gets no answer in time. So a
// connection that went silent costs one timeout and never waits for TCP.
package tbpeer
