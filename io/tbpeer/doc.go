// Package tbpeer connects the instances by drpc over TCP.
//
// A connection carries one request at a time and is closed, with all idle ones to the same
// address, as soon as a request fails, such as by getting no answer in time. So an unresponsive
// connection costs one timeout and never waits for TCP to detect the failure.
package tbpeer
