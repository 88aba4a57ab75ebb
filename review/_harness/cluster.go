package main

import (
	"errors"
	"fmt"
	"io"
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

// The figures are those of the sheet of kolla-portal: bounds, heartbeats and the size of the core.
const (
	coreCount     = 5
	frontCount    = 2
	tolerance     = 2
	holdMax       = 6 * time.Second
	heartbeat     = 1500 * time.Millisecond
	stopTimeout   = 400 * time.Millisecond
	finish        = 14 * time.Second
	drainTime     = 2 * time.Second
	restartDelay  = 500 * time.Millisecond
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
)

// journal writes record.txt.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the platform with one process of the project.
type machine struct {
	name, ip, class string
	settings        string
	mu              sync.Mutex
	cmd             *exec.Cmd
	ended           chan struct{}
	// keepDown stops the platform from restarting the process.
	keepDown bool
}

// cluster is the platform: it starts the processes with the commands of the deploy file and restarts
// those that end.
type cluster struct {
	rec          *journal
	root, folder string
	prefix       string
	bootstrap    bool
	machines     []*machine
	// all holds the machines that were replaced.
	all     []*machine
	stopped bool
	// ends counts the processes that ended and that the case did not end.
	ends int
	mu   sync.Mutex
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.prefix, n) }

func newCluster(rec *journal, root string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, root: root, folder: folder, bootstrap: true}
	for i := range 200 {
		c.prefix = fmt.Sprintf("127.%d.%d", 80+(os.Getpid()+i)%100, 1+os.Getpid()/100%250)
		l, err := net.Listen("tcp", net.JoinHostPort(c.ip(1), fmt.Sprint(controlPort)))
		if err == nil {
			l.Close()
			break
		}
	}
	for i := range coreCount {
		c.machines = append(c.machines, &machine{name: fmt.Sprintf("core-%d", i+1), ip: c.ip(i + 1), class: "core"})
	}
	for i := range frontCount {
		c.machines = append(c.machines, &machine{name: fmt.Sprintf("frontend-%d", i+1), ip: c.ip(20 + i), class: "front"})
	}
	return c, nil
}

func (c *cluster) cores() []*machine { return c.machines[:coreCount] }

// lose takes a machine away for good: its process is killed and does not come back.
func (c *cluster) lose(m *machine) {
	m.mu.Lock()
	m.keepDown = true
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	c.rec.printf("platform: %s is removed for good", m.name)
	_ = cmd.Process.Kill()
	<-ended
}

// replaceCore adds a machine with an empty disk and the roles of the core at another address. From then
// on, the list of the callers has its address instead of that of the machine that was lost.
func (c *cluster) replaceCore(index int) error {
	m := &machine{name: fmt.Sprintf("core-%d", coreCount+index+1), ip: c.ip(coreCount + index + 1), class: "core"}
	c.mu.Lock()
	c.bootstrap = false
	c.all = append(c.all, c.machines[index])
	c.machines[index] = m
	c.mu.Unlock()
	c.rec.printf("platform: adds %s at %s with an empty disk, bootstrap_enabled false", m.name, m.ip)
	return c.start(m)
}

func (c *cluster) fronts() []*machine { return c.machines[coreCount:] }

// writeSettings renders the template of the machine's role.
func (c *cluster) writeSettings(m *machine) error {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy", m.class+".toml.tmpl"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range c.cores()[:3] {
		seeds = append(seeds, net.JoinHostPort(s.ip, fmt.Sprint(controlPort)))
	}
	dataDir := ""
	if m.class == "core" {
		dataDir = filepath.Join(c.folder, "data-"+m.name)
		if err := os.MkdirAll(dataDir, 0o700); err != nil {
			return err
		}
	}
	m.settings = filepath.Join(c.folder, m.name+".node")
	text := render(string(template), map[string]any{
		"node_name": m.name, "zone": "z1", "ip": m.ip, "data_dir": dataDir,
		"internal_port_range": []int{7720, 7735}, "seed_nodes": seeds, "bootstrap_enabled": c.bootstrap,
		"fault_tolerance": map[string]any{"machines": tolerance},
		"bounds":          map[string]any{"hold_max_ms": int(holdMax.Milliseconds())},
		"listen": map[string]any{
			"control_plane":  net.JoinHostPort(m.ip, fmt.Sprint(controlPort)),
			"frontend_addr":  net.JoinHostPort(m.ip, fmt.Sprint(frontPort)),
			"readiness_addr": net.JoinHostPort(m.ip, fmt.Sprint(readinessPort)),
		},
	})
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

func (c *cluster) start(m *machine) error {
	if err := c.writeSettings(m); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(c.root, "target/tamarackbarrow"), "serve", "--settings", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ended := make(chan struct{})
	// stopAll either finds the process or keeps it from starting.
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return errors.New("the case is over")
	}
	err = cmd.Start()
	if err == nil {
		m.mu.Lock()
		m.cmd, m.ended = cmd, ended
		m.mu.Unlock()
	}
	c.mu.Unlock()
	if err != nil {
		return err
	}
	go func() {
		err := cmd.Wait()
		close(ended)
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if stopped {
			return
		}
		c.rec.printf("platform: the process of %s has ended: %v", m.name, err)
		m.mu.Lock()
		intended := m.keepDown
		m.mu.Unlock()
		if !intended {
			c.mu.Lock()
			c.ends++
			c.mu.Unlock()
		}
		time.Sleep(restartDelay)
		m.mu.Lock()
		down := m.keepDown
		m.mu.Unlock()
		c.mu.Lock()
		stopped = c.stopped
		c.mu.Unlock()
		if !down && !stopped {
			c.rec.printf("platform: starts %s again, bootstrap_enabled %t", m.name, c.bootstrap)
			if err := c.start(m); err != nil {
				c.rec.printf("platform: cannot start %s: %v", m.name, err)
			}
		}
	}()
	return nil
}

// unexpectedEnds returns how many processes ended that the case did not end.
func (c *cluster) unexpectedEnds() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends
}

// startAll starts all machines within 0.3 s.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	c.rec.printf("platform: %d core and %d frontend machines have started", coreCount, frontCount)
	return nil
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	c.stopped = true
	machines := append(append([]*machine{}, c.all...), c.machines...)
	c.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		cmd, ended := m.cmd, m.ended
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		c.rec.printf("logs are in %s", c.folder)
	}
}

func (c *cluster) controls() []string {
	var all []string
	for _, m := range c.cores() {
		all = append(all, net.JoinHostPort(m.ip, fmt.Sprint(controlPort)))
	}
	return all
}

// waitReady waits until all fronts answer their readiness checks with 200.
func (c *cluster) waitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, m := range c.fronts() {
			if status, _ := send(http.MethodGet, net.JoinHostPort(m.ip, fmt.Sprint(readinessPort)), "", "/readyz", "", 1500*time.Millisecond); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.fronts()) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}

// send sends a request and returns the status, or 0 and the error if there was no answer in time.
func send(method, address, host, path, body string, timeout time.Duration) (int, string) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		r.Host = host
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *httpClient
	client.Timeout = timeout
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// putConfig is the operator: it sends a configuration to one node after the other until it is
// acknowledged or refused.
func (c *cluster) putConfig(body string, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		status, text := send(http.MethodPost, c.controls()[i%coreCount], "", "/config/replace", body, 4*time.Second)
		if status == http.StatusOK {
			c.rec.printf("operator: configuration acknowledged: %s", shorten(body))
			return true
		}
		if status >= 400 && status < 500 {
			c.rec.printf("operator: configuration refused with %d %s: %s", status, text, shorten(body))
			return false
		}
		c.rec.printf("operator: no acknowledgement at %s, %d %s", c.cores()[i%coreCount].name, status, text)
		time.Sleep(300 * time.Millisecond)
	}
	c.rec.printf("operator: configuration not acknowledged in time: %s", shorten(body))
	return false
}

// shorten cuts a body for the record.
func shorten(body string) string {
	const most = 1200
	if len(body) <= most {
		return body
	}
	return fmt.Sprintf("%s ... (%d bytes)", body[:most], len(body))
}
