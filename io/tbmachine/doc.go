// Package tbmachine reads what memory and how many file descriptors the system lets this process use.
package tbmachine
