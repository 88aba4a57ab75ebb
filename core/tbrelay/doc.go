// Package tbrelay decides which replica of the control group sends an order of the leader to a
// worker.
//
// Thousands of runs start and end each second on thousands of workers. Each of them costs the leader
// one or two requests to a worker, with a connection, a goroutine and encoded messages. That is most
// of the leader's processor time, while the other replicas are nearly idle. Above a certain rate of
// orders, the leader therefore passes them in batches to the other replicas, the relays. A relay
// sends each order to the worker and returns the result. All decisions stay with the leader.
//
// A relay adds no permission of its own: an order has the token and the lease expiry that the leader
// gave it, and a relay may delay or lose it like the network. The package bounds the delay, see
// Fresh, and keeps the orders whose results have not arrived, see Pending.
//
// The package does no I/O.
package tbrelay
