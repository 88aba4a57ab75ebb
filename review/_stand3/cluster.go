package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all machines, as the platform gives them: the same on each machine.
type ports struct{ peer, caller, front, ready, control, metrics int }

// node is one machine of the system with its process.
type node struct {
	name, role, ip, zone string
	dir                  string
	cmd                  *exec.Cmd
	down                 bool
	stopping             bool
}

// cluster is a small deployment: five core machines and two front machines on loopback addresses.
type cluster struct {
	rec    *recorder
	dir    string
	prefix string
	p      ports
	cores  []*node
	fronts []*node
	client *http.Client
	// first is the value of bootstrap_enabled.
	first bool
}

var zones = []string{"za", "zb", "zc"}

func newCluster(rec *recorder, dir string) (*cluster, error) {
	c := &cluster{rec: rec, dir: dir, first: true, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	for try := 0; ; try++ {
		c.prefix = fmt.Sprintf("127.%d.%d", 40+rand.Intn(150), 1+rand.Intn(250))
		base := 20000 + rand.Intn(10000)
		c.p = ports{base, base + 1, base + 2, base + 3, base + 4, 9464}
		if c.portsFree() {
			break
		}
		if try > 20 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	for i := range 5 {
		c.cores = append(c.cores, &node{name: fmt.Sprintf("core-%d", i+1), role: "core", ip: fmt.Sprintf("%s.%d", c.prefix, i+1), zone: zones[i%3]})
	}
	for i := range 2 {
		c.fronts = append(c.fronts, &node{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: fmt.Sprintf("%s.%d", c.prefix, i+11), zone: zones[i%3]})
	}
	for _, n := range c.all() {
		n.dir = filepath.Join(dir, n.name)
		if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o755); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) portsFree() bool {
	for i := range 16 {
		for _, p := range []int{c.p.peer, c.p.caller, c.p.front, c.p.ready, c.p.control, c.p.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", c.prefix, i+1, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (c *cluster) all() []*node { return append(append([]*node{}, c.cores...), c.fronts...) }

// writeSettings fills in the template of the deploy file as the platform does.
func (c *cluster) writeSettings(n *node) error {
	text, err := os.ReadFile("deploy/" + n.role + ".toml.tmpl")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range c.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, c.p.control)))
	}
	s := string(text)
	s = strings.ReplaceAll(s, `{{#seed_nodes}}"{{.}}"{{,}}{{/seed_nodes}}`, strings.Join(seeds, ", "))
	memory, descriptors := "280", "4096"
	s = strings.NewReplacer(
		"{{node_name}}", n.name, "{{zone}}", n.zone, "{{ip}}", n.ip,
		"{{internal_port_range.0}}", fmt.Sprint(c.p.peer), "{{internal_port_range.1}}", fmt.Sprint(c.p.caller),
		"{{data_dir}}", filepath.Join(n.dir, "data"), "{{bootstrap_enabled}}", fmt.Sprint(c.first),
		"{{fault_tolerance.machines}}", "2", "{{bounds.hold_max_ms}}", "6000",
		"{{listen.control_plane}}", fmt.Sprintf("%s:%d", n.ip, c.p.control),
		"{{listen.frontend_addr}}", fmt.Sprintf("%s:%d", n.ip, c.p.front),
		"{{listen.readiness_addr}}", fmt.Sprintf("%s:%d", n.ip, c.p.ready),
		"{{#limits.memory_mb}}", "", "{{/limits.memory_mb}}", "", "{{limits.memory_mb}}", memory,
		"{{#limits.max_fds}}", "", "{{/limits.max_fds}}", "", "{{limits.max_fds}}", descriptors,
	).Replace(s)
	if strings.Contains(s, "{{") {
		return fmt.Errorf("unknown placeholder in %s settings:\n%s", n.role, s)
	}
	return os.WriteFile(filepath.Join(n.dir, "node.toml"), []byte(s), 0o644)
}

// start starts the process of a machine with the command of the deploy file.
func (c *cluster) start(n *node) error {
	if err := c.writeSettings(n); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/tamarackbarrow", "serve", "--settings", filepath.Join(n.dir, "node.toml"))
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd := n.cmd
	go func() {
		err := cmd.Wait()
		if !n.down && !n.stopping {
			c.rec.log("process %s ended by itself: %v", n.name, err)
		}
	}()
	return nil
}

func (c *cluster) startAll() error {
	for _, n := range c.all() {
		if err := c.start(n); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	c.first = false
	return nil
}

func (c *cluster) kill(n *node) {
	n.down = true
	n.cmd.Process.Kill()
	c.rec.log("SIGKILL to %s", n.name)
}

func (c *cluster) restart(n *node) error {
	n.down = false
	c.rec.log("start of %s", n.name)
	return c.start(n)
}

func (c *cluster) close() {
	for _, n := range c.all() {
		n.stopping = true
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Kill()
		}
	}
	time.Sleep(200 * time.Millisecond)
}

func (c *cluster) controlAddresses() []string {
	var a []string
	for _, n := range c.cores {
		a = append(a, fmt.Sprintf("%s:%d", n.ip, c.p.control))
	}
	return a
}

// route is a queue of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path_prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeout_ms"`
	TargetLatencyMs int     `json:"target_latency_ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max_attempts"`
	SlackFactor     float64 `json:"slack_factor"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	AdmissionCheck bool   `json:"admission_check"`
	Standby        bool   `json:"standby"`
}

type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

func baseConfig(version int) config {
	return config{
		Version: version,
		Routes: []route{
			{"r-quick", "quick.example", "/quick/", "non_idempotent", 3000, 250, 0, "svc", 4, 1.5},
			{"r-batch", "batch.example", "/batch/", "non_idempotent", 3000, 1000, 2, "svc", 4, 2.0},
			{"r-last", "quick.example", "/last/", "non_idempotent", 3000, 2500, 0, "svc", 4, 2.2},
		},
		Services: []service{{"svc", "/healthz", 64, "h1", false, true, false}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// putConfig sends a configuration until it is acknowledged.
func (c *cluster) putConfig(cfg config) error {
	body, _ := json.Marshal(cfg)
	for try := 0; try < 80; try++ {
		n := c.cores[try%len(c.cores)]
		if n.down {
			continue
		}
		resp, err := c.client.Post(fmt.Sprintf("http://%s:%d/config/replace", n.ip, c.p.control), "application/json", bytes.NewReader(body))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				c.rec.log("operator: version %d acknowledged", cfg.Version)
				return nil
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("version %d not acknowledged", cfg.Version)
}

// call sends a client's request to a front and returns the status (0 for no response) and the body.
func (c *cluster) call(method, host, path string, body any) (int, []byte) {
	return c.callAt(rand.Intn(len(c.fronts)), method, host, path, body)
}

func (c *cluster) callAt(front int, method, host, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	n := c.fronts[front]
	r, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, c.p.front, path), bytes.NewReader(data))
	r.Host = host
	r.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(w *world, host, prefix string, j *job) error {
	w.add(j)
	for try := 0; try < 20; try++ {
		status, _ := c.call("POST", host, prefix+j.ID, j.wire())
		c.rec.log("client: POST %s%s: %d", prefix, j.ID, status)
		if status >= 200 && status < 300 {
			j.host, j.prefix = host, prefix
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s not accepted", j.ID)
}

// state returns what a GET of the job tells, or the status if it is not 200.
func (c *cluster) state(j *job) string {
	for try := 0; try < 6; try++ {
		status, body := c.call("GET", j.host, j.prefix+j.ID, nil)
		var m struct {
			State string `json:"state"`
		}
		if status == 200 && json.Unmarshal(body, &m) == nil {
			return m.State
		}
		if status != 0 && status < 500 {
			return fmt.Sprint(status)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

func (c *cluster) cancel(j *job) int {
	for try := 0; try < 10; try++ {
		status, _ := c.call("DELETE", j.host, j.prefix+j.ID, nil)
		c.rec.log("client: DELETE %s%s: %d", j.prefix, j.ID, status)
		if status == 200 || status == 410 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
