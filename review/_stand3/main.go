// Command standin plays the cases of a review against the project's own daemons, on loopback addresses and the
// real clock. Clients, runners and the operator are stand-ins that follow the users' pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scene is what a case needs.
type scene struct {
	c       *cluster
	w       *world
	rec     *recorder
	trouble bool
}

var cases = map[string]func(s *scene) error{
	"gang": gangCase, "attempts": attemptsCase, "deadly": deadlyCase, "starved": starvedCase, "kind": kindCase, "biggang": bigGangCase, "fill": fillCase,
}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	c, err := newCluster(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		c.close()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	s := &scene{c: c, w: newWorld(rec, c), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.w.close()
	if err := c.startAll(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := cases[name](s); err != nil {
		rec.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(rec.breaks) > 0 {
		fmt.Printf("%s, trouble %t: BROKEN: %s\n", name, s.trouble, rec.breaks[0])
		return 1
	}
	fmt.Printf("%s, trouble %t: held\n", name, s.trouble)
	return 0
}

// begin brings up the runners and the first configuration, and waits until a job can run.
func (s *scene) begin(machines int, cpu, mem int64, label func(int) string, cfg config) error {
	if err := s.w.addMachines(machines, cpu, mem, label); err != nil {
		return err
	}
	if err := s.c.putConfig(cfg); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

func sameLabel(int) string { return "a" }

// waitFor waits until cond, which is called with the lock of the world, or until the time has passed.
func (s *scene) waitFor(d time.Duration, cond func() bool) bool {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		s.w.mu.Lock()
		ok := cond()
		s.w.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// finishTime is how long after the end of the traffic jobs are asked for, and idleTime how long nothing of a job may run
// then although there is capacity for it.
const (
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// follow asks for the state of a job until it ends or the time has passed, and returns its last state. It calls look,
// which is called with the lock of the world, all the while.
func (s *scene) follow(j *job, d time.Duration, look func()) string {
	state, nextAsk := "", time.Now()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s.w.mu.Lock()
		look()
		s.w.mu.Unlock()
		if time.Now().Before(nextAsk) {
			continue
		}
		before := state
		if state = s.c.state(j); state != before {
			s.rec.log("client: GET %s%s: %s", j.prefix, j.ID, state)
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
		nextAsk = time.Now().Add(500 * time.Millisecond)
	}
	return state
}

// finish follows a job after the end of the traffic. It returns the last state, and the longest time for which, from
// finishTime on, nothing of the job ran although there was capacity for its step twice over and under half of the
// processors were in use.
func (s *scene) finish(j *job, st *step, d time.Duration) (state string, idle time.Duration) {
	begin := time.Now()
	var idleSince time.Time
	s.rec.log("the traffic has ended")
	state = s.follow(j, d, func() {
		switch {
		case time.Since(begin) < finishTime || s.w.running(j.ID) > 0 || s.w.usedShare() >= 0.5 || s.w.room(st) < 2*st.Count:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			idle = max(idle, time.Since(idleSince))
		}
	})
	s.rec.log("job %s: %s; nothing of it ran for up to %.1f s from %s after the end of the traffic on", j.ID, state, idle.Seconds(), finishTime)
	return state, idle
}
