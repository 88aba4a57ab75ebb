// Package tbresource defines amounts of processors, memory and accelerators and their arithmetic.
package tbresource
