// Package tblease grants the right to do something for a bounded time.
//
// A holder counts from the moment it sent its request and a grantor from the
// moment it received it, both on monotonic clocks whose rates differ by at most
// a known bound. So the holder always stops before the grantor gives the right
// to another.
package tblease
