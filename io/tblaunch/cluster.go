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

// Options describe a deployment.
type Options struct {
	// Binary is the path of the tamarackbarrow program.
	Binary string
	// Folder holds settings, data and logs.
	Folder   string
	Entries  int
	Controls int
	// Policies and Times are TOML lines for those tables.
	Policies string
	Times    string
	// Proxied puts a fault-injecting proxy before each instance's peer address.
	Proxied bool
}

// Instance is one daemon process.
type Instance struct {
	ID            string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
	// SourceIP is the instance's own loopback address.
	SourceIP  string
	ReplicaID uint64
	Proxy     *tbproxy.Proxy

	listenAddress string
	settings      string
	log           string
	binary        string
	process       *exec.Cmd
	ended         chan error
}

// Cluster is a running deployment.
type Cluster struct {
	Instances []*Instance
	options   Options
}

var dataCentres = []string{"north", "middle", "south"}

// New writes the settings of a deployment and starts nothing yet.
func New(o Options) (*Cluster, error) {
	if err := os.MkdirAll(o.Folder, 0o750); err != nil {
		return nil, err
	}
	c := &Cluster{options: o}
	for i := range o.Entries {
		in, err := newInstance(o, i)
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

func newInstance(o Options, i int) (*Instance, error) {
	ip := fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1)
	in := &Instance{
		ID: fmt.Sprintf("entry-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)], SourceIP: ip, binary: o.Binary,
	}
	in.settings = filepath.Join(o.Folder, in.ID+".toml")
	in.log = filepath.Join(o.Folder, in.ID+".log")
	if i < o.Controls {
		in.ReplicaID = uint64(i + 1)
	}
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	in.CallerAddress, in.listenAddress, in.PeerAddress = addresses[0], addresses[1], addresses[1]
	if !o.Proxied {
		return in, nil
	}
	in.PeerAddress = addresses[2]
	in.Proxy, err = tbproxy.Listen(in.PeerAddress, in.listenAddress)
	return in, err
}

// FromSettings returns an instance whose settings file its caller wrote.
func FromSettings(id, binary, settings, log string) *Instance {
	return &Instance{ID: id, binary: binary, settings: settings, log: log}
}

// freeAddresses returns n different addresses on which nothing listens.
func freeAddresses(ip string, n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		// A port that is free again may be handed out a second time, so that all are held until the last is known.
		defer func() { err = errors.Join(err, l.Close()) }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (c *Cluster) writeSettings(i int, join bool) error {
	in := c.Instances[i]
	text := fmt.Sprintf("id = %q\ndataCentre = %q\ncallerAddress = %q\npeerAddress = %q\npeerListenAddress = %q\nsourceIP = %q\n",
		in.ID, in.DataCentre, in.CallerAddress, in.PeerAddress, in.listenAddress, in.SourceIP)
	if in.ReplicaID > 0 {
		text += fmt.Sprintf("dataFolder = %q\nreplicaId = %d\njoin = %t\n", c.DataFolder(i), in.ReplicaID, join)
	}
	for k := range c.options.Controls {
		text += fmt.Sprintf("\n[[control]]\nreplicaId = %d\npeerAddress = %q\n", k+1, c.Instances[k].PeerAddress)
	}
	text += "\n[times]\n" + c.options.Times + "\n[policies]\n" + c.options.Policies + "\n"
	return os.WriteFile(in.settings, []byte(text), 0o640)
}

// DataFolder returns where an instance keeps its durable state.
func (c *Cluster) DataFolder(i int) string {
	return filepath.Join(c.options.Folder, fmt.Sprintf("data-%s-%d", c.Instances[i].ID, c.Instances[i].ReplicaID))
}

// Rejoin gives an instance a new replica id and an empty data folder.
func (c *Cluster) Rejoin(i int, replica uint64) error {
	c.Instances[i].ReplicaID = replica
	return c.writeSettings(i, true)
}

// StartAll starts every instance and waits until all take calls or ctx ends.
func (c *Cluster) StartAll() error {
	for _, in := range c.Instances {
		if err := in.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process of an instance.
func (in *Instance) Start() error {
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	defer log.Close()
	in.process = exec.Command(in.binary, "serve", "--settings", in.settings)
	in.process.Stdout, in.process.Stderr = log, log
	// The daemon must not outlive an aborted test or measurement.
	in.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.process.Start(); err != nil {
		return err
	}
	in.ended = make(chan error, 1)
	process, ended := in.process, in.ended
	go func() { ended <- process.Wait() }()
	return nil
}

// PID returns the process id of a started instance.
func (in *Instance) PID() int { return in.process.Process.Pid }

// Kill ends an instance at once, as a failure does.
func (in *Instance) Kill() error {
	if err := in.process.Process.Kill(); err != nil {
		return err
	}
	<-in.ended
	return nil
}

// Signal sends a signal such as SIGSTOP, which freezes the process.
func (in *Instance) Signal(s os.Signal) error { return in.process.Process.Signal(s) }

// Exited reports whether the process has ended by itself, and once returns the error of a bad exit.
func (in *Instance) Exited() (exited bool, err error) {
	select {
	case err := <-in.ended:
		return true, err
	default:
		return false, nil
	}
}

// stopLimit is above the stop limit of the default settings.
const stopLimit = 45 * time.Second

// Stop ends an instance gracefully and returns the error of a bad exit.
func (in *Instance) Stop() error {
	if err := in.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-in.ended:
		return err
	case <-time.After(stopLimit):
		return fmt.Errorf("instance %s did not stop in %s", in.ID, stopLimit)
	}
}

// Close kills what still runs and ends the proxies.
func (c *Cluster) Close() {
	for _, in := range c.Instances {
		in.end()
		if in.Proxy != nil {
			in.Proxy.Close()
		}
	}
}

// WaitReady waits until every given instance takes calls.
func (c *Cluster) WaitReady(ctx context.Context, instances ...*Instance) error {
	for _, in := range instances {
		if err := in.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// end kills a process that still runs and waits for its end.
func (in *Instance) end() {
	if in.process == nil {
		return
	}
	in.process.Process.Kill()
	select {
	case <-in.ended:
	case <-time.After(time.Second):
	}
}

const readyPoll = 20 * time.Millisecond

func (in *Instance) waitReady(ctx context.Context) error {
	for {
		ready, err := in.Ready(ctx)
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("instance %s is not ready, see %s", in.ID, in.log), err)
		case <-time.After(readyPoll):
		}
	}
}

// Ready asks an instance whether it takes new calls.
func (in *Instance) Ready(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.CallerAddress+"/readyz", nil)
	if err != nil {
		return false, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode == http.StatusOK, err
}

// Operator returns an operator's client of an instance.
func (in *Instance) Operator() tbprotov1connect.OperatorServiceClient {
	return tbprotov1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+in.CallerAddress)
}

// PutInForce signs a bundle off and rolls it out, trying again while there is no leader.
func (c *Cluster) PutInForce(ctx context.Context, source []byte, version uint64) error {
	op := c.Instances[0].Operator()
	return retry(ctx, func() error {
		signed, err := op.SignOff(ctx, connect.NewRequest(&pb.SignOffRequest{Source: source}))
		if err != nil {
			return err
		}
		if reason := signed.Msg.GetResult().GetReason(); reason != "" {
			return fmt.Errorf("sign-off refused: %s: %s", reason, signed.Msg.GetResult().GetDetail())
		}
		rolled, err := op.RollOut(ctx, connect.NewRequest(&pb.RollOutRequest{Version: version}))
		if err != nil {
			return err
		}
		if reason := rolled.Msg.GetResult().GetReason(); reason != "" {
			return fmt.Errorf("roll-out refused: %s: %s", reason, rolled.Msg.GetResult().GetDetail())
		}
		return nil
	})
}

// UntilAvailable makes a change again while no leader answers, which is safe for all changes.
func UntilAvailable[T any](ctx context.Context, change func() (T, error)) (T, error) {
	var answer T
	var final error
	late := retry(ctx, func() error {
		a, err := change()
		if connect.CodeOf(err) == connect.CodeUnavailable {
			return err
		}
		answer, final = a, err
		return nil
	})
	return answer, errors.Join(final, late)
}

const retryPause = 50 * time.Millisecond

func retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(retryPause):
		}
	}
}
