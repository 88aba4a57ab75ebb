package tblaunch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"connectrpc.com/connect"

	pb "tamarackbarrow/io/tbproto/v1"
	"tamarackbarrow/io/tbproto/v1/tbprotov1connect"
	"tamarackbarrow/io/tbproxy"
)

// Options configures the daemons of a system.
type Options struct {
	// Binary is the path of the tamarackbarrow program.
	Binary string
	// Folder holds settings, data and logs; New creates it.
	Folder string
	// Instances is the number of instances; the first ControlReplicas of them host control replicas.
	Instances       int
	ControlReplicas int
	// Policies and Times are the TOML lines of the settings' tables [policies] and [times].
	Policies string
	Times    string
	// Proxied puts a fault-injecting proxy in front of each instance's peer address.
	Proxied bool
}

// Instance simulates one instance: a daemon with its own loopback address that can be killed and
// started again.
type Instance struct {
	ID            string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// SourceIP is the instance's own loopback address.
	SourceIP string
	// ReplicaID is 0 if the instance hosts no control replica.
	ReplicaID uint64
	// Proxy is nil unless Options.Proxied is set.
	Proxy *tbproxy.Proxy

	listenAddress string
	settingsPath  string
	logPath       string
	binaryPath    string
	cmd           *exec.Cmd
	// exitErrs receives one value when the process ends: nil after a successful exit, else the error.
	exitErrs chan error
}

// Cluster holds the instances of one system.
type Cluster struct {
	Instances []*Instance
	options   Options
}

var dataCentres = []string{"north", "middle", "south"}

// New writes the settings of all instances and starts their proxies but no daemon.
func New(opts Options) (*Cluster, error) {
	if err := os.MkdirAll(opts.Folder, 0o750); err != nil {
		return nil, err
	}
	c := &Cluster{options: opts}
	for i := range opts.Instances {
		in, err := newClusterInstance(opts, i)
		if err != nil {
			return nil, err
		}
		c.Instances = append(c.Instances, in)
	}
	for i := range c.Instances {
		if err := c.writeSettings(i, false); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newClusterInstance(opts Options, i int) (*Instance, error) {
	ip := fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1)
	in := &Instance{
		ID: fmt.Sprintf("entry-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)], SourceIP: ip, binaryPath: opts.Binary,
	}
	in.settingsPath = filepath.Join(opts.Folder, in.ID+".toml")
	in.logPath = filepath.Join(opts.Folder, in.ID+".log")
	if i < opts.ControlReplicas {
		in.ReplicaID = uint64(i + 1)
	}
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	in.CallerAddress, in.listenAddress, in.PeerAddress = addresses[0], addresses[1], addresses[1]
	if !opts.Proxied {
		return in, nil
	}
	in.PeerAddress = addresses[2]
	in.Proxy, err = tbproxy.Listen(in.PeerAddress, in.listenAddress)
	return in, err
}

// NewInstance returns an instance that uses an existing settings file; it has no addresses and no proxy.
func NewInstance(id, binaryPath, settingsPath, logPath string) *Instance {
	return &Instance{ID: id, binaryPath: binaryPath, settingsPath: settingsPath, logPath: logPath}
}

// freeAddresses returns n distinct addresses on which nothing listens.
func freeAddresses(ip string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// The kernel may assign the port of a closed listener again, so all listeners stay open until the
		// last address is chosen.
		defer func() { err = errors.Join(err, l.Close()) }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (c *Cluster) writeSettings(i int, joinsGroup bool) error {
	in := c.Instances[i]
	text := fmt.Sprintf("id = %q\ndataCentre = %q\ncallerAddress = %q\npeerAddress = %q\npeerListenAddress = %q\nsourceIP = %q\n",
		in.ID, in.DataCentre, in.CallerAddress, in.PeerAddress, in.listenAddress, in.SourceIP)
	if in.ReplicaID > 0 {
		text += fmt.Sprintf("dataFolder = %q\nreplicaId = %d\njoin = %t\n", c.DataFolder(i), in.ReplicaID, joinsGroup)
	}
	for k := range c.options.ControlReplicas {
		text += fmt.Sprintf("\n[[control]]\nreplicaId = %d\npeerAddress = %q\n", k+1, c.Instances[k].PeerAddress)
	}
	text += "\n[times]\n" + c.options.Times + "\n[policies]\n" + c.options.Policies + "\n"
	return os.WriteFile(in.settingsPath, []byte(text), 0o640)
}

// DataFolder returns the data folder of instance i.
func (c *Cluster) DataFolder(i int) string {
	return filepath.Join(c.options.Folder, fmt.Sprintf("data-%s-%d", c.Instances[i].ID, c.Instances[i].ReplicaID))
}

// AssignReplica gives instance i a new replica id, which is used from the next start on. Each replica
// id has its own data folder, so the instance starts without data.
func (c *Cluster) AssignReplica(i int, replica uint64) error {
	c.Instances[i].ReplicaID = replica
	return c.writeSettings(i, true)
}

// StartAll starts all instances without waiting until they are ready.
func (c *Cluster) StartAll() error {
	for _, in := range c.Instances {
		if err := in.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the daemon process, whose output is appended to the instance's log.
func (in *Instance) Start() error {
	logFile, err := os.OpenFile(in.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	defer logFile.Close()
	in.cmd = exec.Command(in.binaryPath, "serve", "--settings", in.settingsPath)
	in.cmd.Stdout, in.cmd.Stderr = logFile, logFile
	// A daemon could outlive a test or measurement that dies, so the kernel kills the daemon then.
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.exitErrs = make(chan error, 1)
	cmd, exitErrs := in.cmd, in.exitErrs
	go func() { exitErrs <- cmd.Wait() }()
	return nil
}

// PID returns the process id of a started instance.
func (in *Instance) PID() int { return in.cmd.Process.Pid }

// Kill kills the process and waits for its end, to simulate a crash.
func (in *Instance) Kill() error {
	if err := in.cmd.Process.Kill(); err != nil {
		return err
	}
	<-in.exitErrs
	return nil
}

// Signal sends a signal to the process, such as SIGSTOP to pause it.
func (in *Instance) Signal(s os.Signal) error { return in.cmd.Process.Signal(s) }

// Exited reports whether the process has ended by itself, with the error of a failed exit. Only the first
// call after the end returns true. After the end, Kill and Stop return os.ErrProcessDone.
func (in *Instance) Exited() (exited bool, err error) {
	select {
	case err := <-in.exitErrs:
		return true, err
	default:
		return false, nil
	}
}

// stopTimeout is how long Stop waits for the end of the process. It exceeds the default of
// tbsettings.Times.StopTimeout.
const stopTimeout = 45 * time.Second

// Stop shuts the process down gracefully with SIGTERM. It returns an error if the process exits with
// a failure or does not end within stopTimeout.
func (in *Instance) Stop() error {
	if err := in.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-in.exitErrs:
		return err
	case <-time.After(stopTimeout):
		return fmt.Errorf("instance %s did not stop within %s", in.ID, stopTimeout)
	}
}

// Close kills all running processes and closes the proxies.
func (c *Cluster) Close() {
	for _, in := range c.Instances {
		in.killIfRunning()
		if in.Proxy != nil {
			in.Proxy.Close()
		}
	}
}

// WaitReady waits until each given instance has reported that it takes calls. It returns an error if
// ctx ends first.
func (c *Cluster) WaitReady(ctx context.Context, instances ...*Instance) error {
	for _, in := range instances {
		if err := in.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// killIfRunning kills the process if it is running and waits up to a second for its end.
func (in *Instance) killIfRunning() {
	if in.cmd == nil {
		return
	}
	in.cmd.Process.Kill()
	select {
	case <-in.exitErrs:
	case <-time.After(time.Second):
	}
}

const readyPollInterval = 20 * time.Millisecond

func (in *Instance) waitReady(ctx context.Context) error {
	for {
		ready, err := in.Ready(ctx)
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("instance %s is not ready, see its log %s", in.ID, in.logPath), err)
		case <-time.After(readyPollInterval):
		}
	}
}

// Ready asks the instance whether it takes new calls.
func (in *Instance) Ready(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.CallerAddress+"/readyz", nil)
	if err != nil {
		return false, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK, err
}

// Operator returns a client of the instance's operator service.
func (in *Instance) Operator() tbprotov1connect.OperatorServiceClient {
	return tbprotov1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+in.CallerAddress)
}

// RollOutBundle signs a bundle off and makes it the active bundle. It retries after any error until
// ctx ends.
func (c *Cluster) RollOutBundle(ctx context.Context, source []byte, version uint64) error {
	op := c.Instances[0].Operator()
	return retry(ctx, func() error {
		signOff, err := op.SignOff(ctx, connect.NewRequest(&pb.SignOffRequest{Source: source}))
		if err != nil {
			return err
		}
		if reason := signOff.Msg.GetResult().GetReason(); reason != "" {
			return fmt.Errorf("sign-off refused: %s: %s", reason, signOff.Msg.GetResult().GetDetail())
		}
		rollOut, err := op.RollOut(ctx, connect.NewRequest(&pb.RollOutRequest{Version: version}))
		if err != nil {
			return err
		}
		if reason := rollOut.Msg.GetResult().GetReason(); reason != "" {
			return fmt.Errorf("roll-out refused: %s: %s", reason, rollOut.Msg.GetResult().GetDetail())
		}
		return nil
	})
}

// RetryWhileUnavailable repeats a change while its error has the code Unavailable, which means that no
// leader answered. It returns the result of the last attempt. All changes are safe to repeat.
func RetryWhileUnavailable[T any](ctx context.Context, change func() (T, error)) (T, error) {
	var result T
	var changeErr error
	retryErr := retry(ctx, func() error {
		res, err := change()
		if connect.CodeOf(err) == connect.CodeUnavailable {
			return err
		}
		result, changeErr = res, err
		return nil
	})
	return result, errors.Join(changeErr, retryErr)
}

const retryDelay = 50 * time.Millisecond

// retry repeats step until it succeeds or ctx ends.
func retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(retryDelay):
		}
	}
}
