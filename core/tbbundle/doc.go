// Package tbbundle defines the versioned bundle that operators sign off: which
// services, job kinds and teams there are, and what each may use.
package tbbundle
