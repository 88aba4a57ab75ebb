package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has its own loopback address, so all machines use the same ports.
const (
	peerPort      = 17720
	callerPort    = 17735
	controlPort   = 18166
	frontPort     = 18161
	readyPort     = 18167
	metricsPort   = 19464
	runnerPort    = 18080
	coreCount     = 5
	frontCount    = 2
	holdMaxMs     = 6000
	heartbeatMs   = 1100
	stopTimeoutMs = 200
	gangTimeoutMs = 3000
	restoreMs     = 100
	tolerance     = 2
)

// node is one machine of the system with its process.
type node struct {
	name, ip, settings, log string
	cmd                     *exec.Cmd
	done                    chan error
}

// lab holds the processes of one case, its record and its temporary folder.
type lab struct {
	dir, prefix, binary string
	cores, fronts       []*node
	world               *world
	started             time.Time

	mu     sync.Mutex
	record *os.File
}

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// logf writes one line to record.txt.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// unusable ends the case with status 2.
func (l *lab) unusable(format string, args ...any) {
	l.logf("CASE COULD NOT RUN: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	l.close()
	os.Exit(2)
}

// finish ends the case: with status 1 if the rule was broken, otherwise with 0.
func (l *lab) finish(broken []string) {
	for _, b := range broken {
		l.logf("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) == 0 {
		l.logf("the rule held")
		fmt.Println("held")
	}
	l.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func newLab(recordPath string) *lab {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	l := &lab{started: time.Now(), record: record}
	l.world = newWorld(l)
	if l.binary, err = filepath.Abs("target/tamarackbarrow"); err != nil {
		l.unusable("%v", err)
	}
	if _, err := os.Stat(l.binary); err != nil {
		l.unusable("the build of the deploy file is missing: %v", err)
	}
	if l.dir, err = os.MkdirTemp("", "review-lab-"); err != nil {
		l.unusable("%v", err)
	}
	l.prefix = l.freePrefix()
	return l
}

// freePrefix returns the first three numbers of loopback addresses whose ports are free.
func (l *lab) freePrefix() string {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if s, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, peerPort)); err == nil {
			s.Close()
			return prefix
		}
	}
	l.unusable("no free loopback address")
	return ""
}

// start writes the settings of all machines, as the templates beside the deploy file have them, and starts
// the processes.
func (l *lab) start() {
	for i := range coreCount + frontCount {
		n := &node{ip: fmt.Sprintf("%s.%d", l.prefix, i+1)}
		if i < coreCount {
			n.name = fmt.Sprintf("core-%d", i+1)
			l.cores = append(l.cores, n)
		} else {
			n.name = fmt.Sprintf("front-%d", i-coreCount+1)
			l.fronts = append(l.fronts, n)
		}
		n.settings, n.log = filepath.Join(l.dir, n.name+".toml"), filepath.Join(l.dir, n.name+".log")
	}
	for _, n := range append(append([]*node{}, l.cores...), l.fronts...) {
		l.writeSettings(n, true)
		l.startNode(n)
	}
	// The first configuration and the first jobs come when the group is whole.
	for deadline := time.Now().Add(25 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.unusable("the fronts are not ready after 25 s")
		}
		ready := 0
		for _, n := range l.fronts {
			if r, err := probe.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, readyPort)); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(l.fronts) {
			return
		}
	}
}

var probe = &http.Client{Timeout: time.Second}

func (l *lab) writeSettings(n *node, first bool) {
	var seeds []string
	for _, c := range l.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, controlPort)))
	}
	text := fmt.Sprintf("id = %q\ndataCentre = \"zone-a\"\ncallerAddress = \"%s:%d\"\npeerAddress = \"%s:%d\"\n", n.name, n.ip, callerPort, n.ip, peerPort)
	if n.isCore() {
		text += fmt.Sprintf("dataFolder = %q\n", filepath.Join(l.dir, "data-"+n.name))
	}
	text += fmt.Sprintf("entry = false\n\n[group]\nseeds = [%s]\nfirstStart = %t\ntolerance = %d\n", strings.Join(seeds, ", "), first, tolerance)
	if n.isCore() {
		text += "\n[times]\nelectionTimeout = \"900ms\"\nheartbeat = \"150ms\"\n"
		text += fmt.Sprintf("\n[adapter]\nmetricsAddress = \"%s:%d\"\ncontrolAddress = \"%s:%d\"\n", n.ip, metricsPort, n.ip, controlPort)
		text += fmt.Sprintf("\n[workers]\nlease = \"%dms\"\nlongestLease = \"%dms\"\n", holdMaxMs, holdMaxMs)
	} else {
		text += fmt.Sprintf("\n[adapter]\ncallerAddress = \"%s:%d\"\nmetricsAddress = \"%s:%d\"\nreadinessAddress = \"%s:%d\"\n",
			n.ip, frontPort, n.ip, metricsPort, n.ip, readyPort)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		l.unusable("%v", err)
	}
}

func (n *node) isCore() bool { return strings.HasPrefix(n.name, "core") }

func (l *lab) startNode(n *node) {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		l.unusable("%v", err)
	}
	defer out.Close()
	n.cmd = exec.Command(l.binary, "serve", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		l.unusable("%s: %v", n.name, err)
	}
	l.logf("%s starts", n.name)
	cmd, done := n.cmd, make(chan error, 1)
	n.done = done
	go func() { done <- cmd.Wait() }()
}

func (l *lab) kill(n *node) {
	l.logf("%s gets SIGKILL", n.name)
	_ = n.cmd.Process.Kill()
	<-n.done
	n.cmd = nil
}

// leader returns the core machine that leads, as the runners' heartbeats were told.
func (l *lab) leader() *node {
	endpoint := l.world.endpoint()
	for _, n := range l.cores {
		if strings.HasPrefix(endpoint, n.ip+":") {
			return n
		}
	}
	return nil
}

func (l *lab) close() {
	if l.world != nil {
		l.world.close()
	}
	for _, n := range append(append([]*node{}, l.cores...), l.fronts...) {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(l.dir, keep)
	}
	if l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
	l.record.Close()
}
