// Package tbqueue is a bounded queue that is fair among members.
package tbqueue
