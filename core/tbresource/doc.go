// Package tbresource counts processors, memory and accelerators.
package tbresource
