// Package tbplacement decides which queued job starts on which worker, which
// running task has to give way, and why a job waits.
//
// Reservations are by declared size and never exceed a worker. Short work keeps
// a share of the capacity that follows its own use, so that it does not wait
// behind long work.
package tbplacement
