// Package tbrouting load-balances the requests of one service over its runners
// and ejects runners that keep failing for a while.
package tbrouting
