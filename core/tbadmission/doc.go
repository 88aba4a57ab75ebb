// Package tbadmission decides whether a request that has to wait can still be
// answered in time, from the measured response times of the service.
package tbadmission
