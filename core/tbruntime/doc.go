// Package tbruntime learns how long tasks run, as distributions by queue and image.
//
// The package does no I/O. A leader learns from the runs that end while it leads; nothing is stored.
package tbruntime
