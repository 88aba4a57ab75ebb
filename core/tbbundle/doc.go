// Package tbbundle defines the bundle, the versioned configuration that operators sign
// off: the services, job kinds and teams, and the limits of each.
package tbbundle
