package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem_mb"`
	EstimatedMs  int    `json:"estimated_ms,omitempty"`
	DependsOn    []int  `json:"depends_on,omitempty"`
	Checkpoints  bool   `json:"checkpointing,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Image        string `json:"image,omitempty"`
	Utilization  bool   `json:"utilization,omitempty"`
}

type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	StartAtMs  int64  `json:"start_at_ms,omitempty"`
	IntervalMs int64  `json:"interval_ms,omitempty"`
	Repeat     int    `json:"repeat_count,omitempty"`
}

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

const (
	host    = "shop.example"
	service = "svc-a"
)

func newRoute(name, prefix string, attempts int) route {
	return route{Name: name, Host: host, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 250,
		Service: service, MaxAttempts: attempts, SlackFactor: 1.5}
}

// newID returns a job id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request to a front and returns the status, or 0 without an answer.
func (l *lab) call(method, path string, body []byte) (int, []byte) {
	n := l.fronts[rand.IntN(len(l.fronts))]
	status, answer := l.send(method, fmt.Sprintf("http://%s:%d%s", n.ip, frontPort, path), body, 3*time.Second, true)
	l.logf("client: %s %s at %s: %d %s", method, path, n.name, status, short(answer))
	return status, answer
}

func (l *lab) send(method, url string, body []byte, timeout time.Duration, isClient bool) (int, []byte) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		l.unusable("%v", err)
	}
	if isClient {
		r.Host = host
		r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: timeout}
	resp, err := c.Do(r)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return resp.StatusCode, answer
}

func short(b []byte) string {
	if len(b) > 160 {
		b = b[:160]
	}
	return string(bytes.TrimSpace(b))
}

// submit hands a job in until it is accepted.
func (l *lab) submit(prefix string, j job) string { return l.submitAs(newID(), prefix, j) }

func (l *lab) submitAs(id, prefix string, j job) string {
	body, _ := json.Marshal(j)
	l.logf("client: job %s%s is %s", prefix, id, body)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if status, _ := l.call(http.MethodPost, prefix+id, body); status/100 == 2 {
			return id
		}
	}
	l.unusable("job %s was not accepted within 20 s", id)
	return ""
}

// state asks for a job's state. It is empty without an answer 200.
func (l *lab) state(prefix, id string) (string, int) {
	status, body := l.call(http.MethodGet, prefix+id, nil)
	var m struct{ State string }
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &m)
	}
	return m.State, status
}

// waitState asks for a job's state every 250 ms until it is one of those wanted.
func (l *lab) waitState(prefix, id string, timeout time.Duration, wanted ...string) string {
	last := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		s, _ := l.state(prefix, id)
		if s != "" {
			last = s
		}
		for _, w := range wanted {
			if s == w {
				return s
			}
		}
	}
	return last
}

// configure sends a configuration to the core machines in turn until one acknowledges it.
func (l *lab) configure(version int, routes ...route) {
	m := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	body, _ := json.Marshal(m)
	l.logf("operator: configuration %s", body)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		n := l.cores[rand.IntN(len(l.cores))]
		status, answer := l.send(http.MethodPost, fmt.Sprintf("http://%s:%d/config/replace", n.ip, controlPort), body, 2*time.Second, false)
		l.logf("operator: version %d at %s: %d %s", version, n.name, status, short(answer))
		if status == http.StatusOK {
			return
		}
	}
	l.unusable("version %d was not acknowledged within 20 s", version)
}
