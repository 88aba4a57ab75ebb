// Package tbshare divides the slots of runners among entries in proportion to demand.
//
// It computes targets only. The caller that applies them must keep the granted
// slots of a runner, including those not yet released, within the capacity of the runner.
package tbshare
