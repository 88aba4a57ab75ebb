// Package tbplacement decides which queued job starts on which worker, which
// running tasks are evicted, and why a job is still queued.
//
// Jobs reserve their declared resources, and reservations never exceed the
// capacity of a worker. A share of the total capacity is reserved for short jobs, so that
// these do not wait until long jobs end. The share follows the use by short jobs.
package tbplacement
