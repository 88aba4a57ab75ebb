// Package tbadmission decides whether a request that has to wait can still be
// answered on time, from what was measured of the service.
package tbadmission
