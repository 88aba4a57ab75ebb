// Package tbshare divides the slots of runners between entries by demand.
//
// It only plans targets. Whoever applies them has to keep the sum of granted
// slots of a runner at or below its slots, counting slots not yet surrendered.
package tbshare
