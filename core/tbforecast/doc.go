// Package tbforecast predicts when a job would end on a worker class that has too little capacity.
//
// It only computes. What is waiting and what is running is summed up by the plan (package tbassign), so that a
// prediction costs the same on a small and on a large fleet.
package tbforecast
