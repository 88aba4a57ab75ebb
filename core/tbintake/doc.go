// Package tbintake decides which connections and requests a process admits, and which it gives up,
// so that what it holds for unanswered requests fits into its memory.
//
// The load that it answers: many clients that begin requests and do not finish them, each inside the
// limits of a single request. A limit for each request cannot bound their sum, and a first come first
// served bound on the sum would let such clients keep all others out. The process therefore admits
// newcomers and gives up what has occupied the most memory for the longest time without being whole.
//
// The package does no I/O.
package tbintake
