package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	f      *os.File
	begin  time.Time
	breaks []string
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, begin: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (r *recorder) broken(format string, args ...any) {
	r.log("BROKEN "+format, args...)
	r.mu.Lock()
	r.breaks = append(r.breaks, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}
