// Package tbrouting load-balances the requests of one service over its runners
// and temporarily ejects runners that keep failing.
package tbrouting
