// Package tbneighbour learns how much batch tasks slow the services that share
// an instance with them, from measurements of the services alone.
package tbneighbour
