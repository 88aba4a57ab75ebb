package tbsettings

import (
	"net"
	"os"
	"strconv"
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/io/tbtoml"
)

// Settings is the configuration of a daemon.
type Settings struct {
	// ID identifies the instance.
	ID         string
	DataCentre string
	// CallerAddress is the "ip:port" on which the daemon serves callers, backend servers, submitters of
	// jobs and operators.
	CallerAddress string
	// PeerAddress is the "ip:port" under which the other daemons of the system reach this daemon.
	PeerAddress string
	// PeerListenAddress is the address that the daemon listens on for peers. It differs from
	// PeerAddress only if connections to PeerAddress are forwarded to it.
	PeerListenAddress string
	// SourceIP is the local IP number for connections to peers; empty means any.
	SourceIP string
	// Control lists the control replicas of a new group; it is empty if Group is set.
	Control []tbconsensus.Member
	// DataFolder holds the state of the control role; empty means that the daemon has only the
	// entry role.
	DataFolder string
	// ReplicaID is the id of this instance in the control group, or 0 if DataFolder is empty or
	// Group is set.
	ReplicaID tbconsensus.ReplicaID
	// Join is true for a replica that an operator adds to a running group.
	Join  bool
	Times Times
	// RandomSeed is the seed of random choices.
	RandomSeed uint64
	// Entry is false if the daemon does not have the entry role.
	Entry bool
	// Group is set if the control group manages its own membership, and nil otherwise.
	Group *Group
	// Workers holds the time limits for workers that run multi-step jobs.
	Workers Workers
	// Scheduling switches optional decisions about multi-step jobs on. All are off by default.
	Scheduling Scheduling
	// Limits bounds what the daemon holds for clients.
	Limits Limits
	// Adapter holds the addresses that the adapter to an outside platform serves.
	Adapter Adapter
	// Policies selects scheduling policies. Policies other than the defaults serve as baselines in
	// measurements.
	Policies Policies
}

// Group configures a control group that manages its own membership.
type Group struct {
	// Seeds lists peer addresses of some control instances. Through these instances the daemon finds the
	// leader and the other members of the group; on the first start of the system they create the group.
	// Each address has the port of this instance's PeerAddress, whatever port the file gives.
	Seeds []string
	// FirstStart is true only when the whole system is started for the first time.
	FirstStart bool
	// Tolerance is the number of control instances whose simultaneous loss the group survives; the
	// group maintains 2*Tolerance+1 voters.
	Tolerance int
}

// Workers holds the time limits for workers that run multi-step jobs.
type Workers struct {
	// Lease is the length of a worker's lease, on the worker's clock.
	Lease time.Duration
	// MaxLease (key longestLease) is the longest lease that any earlier leader may have granted.
	MaxLease time.Duration
	// MaxOrderDelay (key longestDelay) bounds the time between the sending of an order and
	// its execution by a worker.
	MaxOrderDelay time.Duration
	// PollWait (key lookWait) is how long a worker holds a poll open while no run ends.
	PollWait time.Duration
	// OrderTimeout is the least time without an answer after which an order is unconfirmed.
	OrderTimeout time.Duration
	// SilenceTimeout (key heartbeatSilence) is the time without a heartbeat after which a worker gets no new tasks.
	SilenceTimeout time.Duration
	// ClockRateBound is the largest fraction by which a worker's clock may run slower than the
	// leader's; no key sets it.
	ClockRateBound float64
}

// Scheduling switches optional decisions about multi-step jobs on (see tbassign.Features).
type Scheduling struct {
	// PredictedAdmission refuses jobs that are predicted to end too late to be of use.
	PredictedAdmission bool
	// FairShares divides scarce capacity between data centres of callers.
	FairShares bool
	// LookAhead reserves capacity that will be free soon for large waiting tasks.
	LookAhead bool
	// SecondCopies starts a second run of a straggler whose step allows it.
	SecondCopies bool
	// WorkerSpeeds places short tasks on workers on which tasks do not take longer than elsewhere.
	WorkerSpeeds bool
}

// Adapter configures the adapter to an outside platform. The adapter does not serve an address that
// is empty.
type Adapter struct {
	CallerAddress    string
	ReadinessAddress string
	ControlAddress   string
	MetricsAddress   string
	// StopTimeout has no effect beyond the check of its value; Times.StopTimeout bounds the stop of
	// the daemon.
	StopTimeout time.Duration
}

// Times holds the time limits of a daemon.
type Times struct {
	// EntryLease is the length of the lease that the leader grants to an entry.
	EntryLease time.Duration
	// TaskLease is the length of the lease that an entry gives a worker for its tasks. Workers that
	// run multi-step jobs have leases of the length Workers.Lease instead.
	TaskLease time.Duration
	// ElectionTimeout is the shortest time without a message from the leader after which a replica
	// starts an election.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of the leader's heartbeats to the other replicas.
	Heartbeat time.Duration
	// SyncInterval is the interval at which an entry sends reports to the leader. It does not concern
	// disk syncs.
	SyncInterval time.Duration
	// BackendSilence is the time without an announcement after which a backend server is treated as
	// absent.
	BackendSilence time.Duration
	// DeliveryMargin is how much longer than the run deadline an entry waits for an answer before it
	// treats the slot as free. The margin covers the time that the request is in transit.
	DeliveryMargin time.Duration
	// StopTimeout (key stopLimit) bounds the wait for requests in flight when the daemon stops.
	StopTimeout time.Duration
	// ClockRateBound is the largest relative difference between the rates of two clocks.
	ClockRateBound float64
}

// Policies selects among scheduling policies.
type Policies struct {
	// Routing is leastLoaded, twoChoices or random.
	Routing string
	// Handover is false if calls stay at the entry where they arrived.
	Handover bool
	// Admission is false if entries queue calls whatever their expected wait is.
	Admission bool
	// NewestFirst is true if the newest waiting call of a member is served first.
	NewestFirst bool
	// LearnRunTimes (key learnJobs) is false if placement ignores run times. It then treats all jobs as
	// short and reserves no capacity for short jobs.
	LearnRunTimes bool
	// ProtectServices (key learnNeighbours) is false if placement ignores how much tasks slow down services.
	ProtectServices bool
	// ShortBound is the longest run time with which a job is treated as short. A share of the capacity
	// is reserved for short jobs.
	ShortBound time.Duration
	// ShareByDemand is false if all entries get equal shares of the slots.
	ShareByDemand bool
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int64
	// BatchCommits is false if each log entry holds one command.
	BatchCommits bool
	// Relay is byLoad, always or never. It says when the leader passes orders to workers through the
	// other replicas.
	Relay string
}

// Load reads and checks a settings file. The error is a tbtoml.Errors with every error found.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, tbtoml.Errors{{File: file, Message: err.Error()}}
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file. The error is a tbtoml.Errors with
// every error found; file is used only in the error text.
func Parse(file string, data []byte) (Settings, error) {
	root, err := tbtoml.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		ID:            readName(root, "id"),
		DataCentre:    readName(root, "dataCentre"),
		CallerAddress: readAddress(root, "callerAddress"),
		PeerAddress:   readAddress(root, "peerAddress"),
		SourceIP:      root.StringOr("sourceIP", ""),
		DataFolder:    root.StringOr("dataFolder", ""),
		Join:          root.BoolOr("join", false),
		RandomSeed:    uint64(root.IntOr("seed", 1)),
	}
	s.PeerListenAddress = s.PeerAddress
	if root.Has("peerListenAddress") {
		s.PeerListenAddress = readAddress(root, "peerListenAddress")
	}
	if s.SourceIP != "" && net.ParseIP(s.SourceIP) == nil {
		root.Errorf("sourceIP", "must be an IP number, is %q", s.SourceIP)
	}
	s.Entry = root.BoolOr("entry", true)
	s.Workers = readWorkers(root.Table("workers"))
	s.Scheduling = readScheduling(root.Table("scheduling"))
	s.Limits = readLimits(root.Table("limits"))
	s.Adapter = readAdapter(root.Table("adapter"))
	if root.Has("group") {
		s.Group = readGroup(root.Table("group"), s)
	} else {
		s.Control = readControl(root)
		s.ReplicaID = readReplicaID(root, s)
	}
	s.Times = readTimes(root.Table("times"))
	s.Policies = readPolicies(root.Table("policies"))
	return s, root.Finish()
}

func readGroup(t *tbtoml.Table, s Settings) *Group {
	g := &Group{FirstStart: t.BoolOr("firstStart", false), Tolerance: int(t.IntOr("tolerance", 1))}
	_, port, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return g
	}
	for _, seed := range t.Strings("seeds") {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || net.ParseIP(host) == nil {
			t.Errorf("seeds", "must be IP numbers with a port, contains %q", seed)
			continue
		}
		g.Seeds = append(g.Seeds, net.JoinHostPort(host, port))
	}
	if len(g.Seeds) == 0 {
		t.Errorf("seeds", "must name at least one control instance")
	}
	if g.Tolerance < 0 {
		t.Errorf("tolerance", "must be 0 or more, is %d", g.Tolerance)
	}
	return g
}

func readWorkers(t *tbtoml.Table) Workers {
	return Workers{
		Lease:          readPositiveDuration(t, "lease", 4*time.Second),
		MaxLease:       readPositiveDuration(t, "longestLease", 6*time.Second),
		MaxOrderDelay:  readPositiveDuration(t, "longestDelay", 12*time.Second),
		PollWait:       readPositiveDuration(t, "lookWait", time.Second),
		OrderTimeout:   readPositiveDuration(t, "orderTimeout", 400*time.Millisecond),
		SilenceTimeout: readPositiveDuration(t, "heartbeatSilence", 3500*time.Millisecond),
		ClockRateBound: 0.02,
	}
}

func readScheduling(t *tbtoml.Table) Scheduling {
	return Scheduling{
		PredictedAdmission: t.BoolOr("predictedAdmission", false),
		FairShares:         t.BoolOr("fairShares", false),
		LookAhead:          t.BoolOr("lookAhead", false),
		SecondCopies:       t.BoolOr("secondCopies", false),
		WorkerSpeeds:       t.BoolOr("workerSpeeds", false),
	}
}

func readAdapter(t *tbtoml.Table) Adapter {
	a := Adapter{StopTimeout: readPositiveDuration(t, "stopTimeout", 200*time.Millisecond)}
	for key, field := range map[string]*string{
		"callerAddress": &a.CallerAddress, "readinessAddress": &a.ReadinessAddress,
		"controlAddress": &a.ControlAddress, "metricsAddress": &a.MetricsAddress,
	} {
		if t.StringOr(key, "") != "" {
			*field = readAddress(t, key)
		}
	}
	return a
}

func readName(t *tbtoml.Table, key string) string {
	text := t.String(key)
	if text == "" && t.IsString(key) {
		t.Errorf(key, "must not be empty")
	}
	return text
}

// readAddress reads an IP number with a port; host names are not resolved.
func readAddress(t *tbtoml.Table, key string) string {
	text := t.String(key)
	if text == "" {
		return text
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		t.Errorf(key, `must be an IP number with a port such as "10.0.0.1:7000", is %q`, text)
		return text
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		t.Errorf(key, "port must be from 1 to 65535, is %q", port)
	}
	return text
}

func readControl(root *tbtoml.Table) []tbconsensus.Member {
	var members []tbconsensus.Member
	seenIDs := map[tbconsensus.ReplicaID]bool{}
	for _, t := range root.Tables("control") {
		id := t.Int("replicaId")
		m := tbconsensus.Member{ID: tbconsensus.ReplicaID(max(0, id)), Address: readAddress(t, "peerAddress")}
		if id <= 0 && t.Has("replicaId") {
			t.Errorf("replicaId", "must be 1 or more, is %d", id)
		}
		if seenIDs[m.ID] && id > 0 {
			t.Errorf("replicaId", "%d is listed twice", id)
		}
		seenIDs[m.ID] = true
		members = append(members, m)
	}
	if len(members) == 0 {
		root.Errorf("control", "must list at least one control replica")
	}
	return members
}

func readReplicaID(root *tbtoml.Table, s Settings) tbconsensus.ReplicaID {
	id := root.IntOr("replicaId", 0)
	if s.DataFolder == "" {
		if id != 0 {
			root.Errorf("replicaId", "requires dataFolder")
		}
		return 0
	}
	if id <= 0 {
		root.Errorf("replicaId", "must be 1 or more where dataFolder is set, is %d", id)
		return 0
	}
	isListed := false
	for _, m := range s.Control {
		if m.ID != tbconsensus.ReplicaID(id) {
			continue
		}
		isListed = true
		if m.Address != s.PeerAddress {
			root.Errorf("peerAddress", "is %q here and %q in the control list", s.PeerAddress, m.Address)
		}
	}
	if !isListed && !s.Join {
		root.Errorf("replicaId", "%d is not in the control list and join is not set", id)
	}
	return tbconsensus.ReplicaID(id)
}

func readTimes(t *tbtoml.Table) Times {
	times := Times{
		EntryLease:      readPositiveDuration(t, "entryLease", 3*time.Second),
		TaskLease:       readPositiveDuration(t, "taskLease", 4*time.Second),
		ElectionTimeout: readPositiveDuration(t, "electionTimeout", 600*time.Millisecond),
		Heartbeat:       readPositiveDuration(t, "heartbeat", 60*time.Millisecond),
		SyncInterval:    readPositiveDuration(t, "syncInterval", 200*time.Millisecond),
		BackendSilence:  readPositiveDuration(t, "backendSilence", 3*time.Second),
		DeliveryMargin:  readPositiveDuration(t, "deliveryMargin", time.Second),
		StopTimeout:     readPositiveDuration(t, "stopLimit", 30*time.Second),
		ClockRateBound:  0.01,
	}
	if t.Has("clockRateBound") {
		times.ClockRateBound = t.Number("clockRateBound")
	}
	if times.ClockRateBound < 0 || times.ClockRateBound > 0.2 {
		t.Errorf("clockRateBound", "must be from 0 to 0.2, is %v", times.ClockRateBound)
	}
	if times.Heartbeat*3 > times.ElectionTimeout {
		t.Errorf("heartbeat", "must be at most a third of electionTimeout (%s), is %s", times.ElectionTimeout, times.Heartbeat)
	}
	if times.SyncInterval*3 > times.EntryLease {
		t.Errorf("syncInterval", "must be at most a third of entryLease (%s), is %s", times.EntryLease, times.SyncInterval)
	}
	return times
}

func readPositiveDuration(t *tbtoml.Table, key string, defaultValue time.Duration) time.Duration {
	d := t.DurationOr(key, defaultValue)
	if d <= 0 {
		t.Errorf(key, "must be above 0, is %s", d)
	}
	return d
}

func readPolicies(t *tbtoml.Table) Policies {
	p := Policies{
		Routing:         t.StringOr("routing", "leastLoaded"),
		Handover:        t.BoolOr("handover", true),
		Admission:       t.BoolOr("admission", true),
		NewestFirst:     t.BoolOr("newestFirst", false),
		LearnRunTimes:   t.BoolOr("learnJobs", true),
		ProtectServices: t.BoolOr("learnNeighbours", true),
		ShortBound:      readPositiveDuration(t, "shortBound", 30*time.Second),
		ShareByDemand:   t.BoolOr("shareByDemand", true),
		SnapshotEvery:   t.IntOr("snapshotEvery", 10_000),
		BatchCommits:    t.BoolOr("batchCommits", true),
		Relay:           t.StringOr("relay", "byLoad"),
	}
	switch p.Routing {
	case "leastLoaded", "twoChoices", "random":
	default:
		t.Errorf("routing", "must be leastLoaded, twoChoices or random, is %q", p.Routing)
	}
	switch p.Relay {
	case "byLoad", "always", "never":
	default:
		t.Errorf("relay", "must be byLoad, always or never, is %q", p.Relay)
	}
	if p.SnapshotEvery <= 0 {
		t.Errorf("snapshotEvery", "must be above 0, is %d", p.SnapshotEvery)
	}
	return p
}
