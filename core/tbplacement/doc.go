// Package tbplacement decides which queued job starts on which worker, which
// running tasks are evicted, and why a job is still queued.
//
// Jobs reserve their declared resources, and reservations never exceed the
// capacity of a worker. A share of the total capacity is reserved for short jobs
// and follows their usage, so that they do not wait behind long jobs.
package tbplacement
