// Package tbpeer connects the instances by drpc over TCP.
//
// A connection carries one request at a time. If a connection is broken, its request gets no answer in
// time, and TCP may take long to detect this. So when a request fails, its connection
// and all idle connections to the same address are closed at once. A broken connection then costs
// only one timeout.
package tbpeer
