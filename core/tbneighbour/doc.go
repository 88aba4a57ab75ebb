// Package tbneighbour learns the interference of batch tasks with services on the
// same instance, from measurements of the services only.
package tbneighbour
