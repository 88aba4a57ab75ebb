// Package tbrouting chooses the runner for a request among those of one service
// and keeps away from runners that fail.
package tbrouting
