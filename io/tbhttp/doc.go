// Package tbhttp binds HTTP servers to the limits that core/tbintake decides on: it accounts for the
// bytes and header lines of each connection as they arrive, which is before net/http parses a head,
// closes the connections that are given up, and refuses requests that there is no room for.
package tbhttp
