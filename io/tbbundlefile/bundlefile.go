package tbbundlefile

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/io/tbtoml"
)

// Defaults of what a bundle may leave out.
const (
	defaultRetryPercent = 10
	defaultRetention    = time.Hour
	defaultClaimLimit   = 1_000_000
	defaultQueueLimit   = 1000
	defaultMaxFailures  = 3
)

// Parse reads a bundle; the error is tbtoml.Faults with every fault of the file.
func Parse(file string, source []byte) (tbbundle.Bundle, error) {
	root, err := tbtoml.Parse(file, source)
	if err != nil {
		return tbbundle.Bundle{}, err
	}
	digest := sha256.Sum256(source)
	b := tbbundle.Bundle{Digest: hex.EncodeToString(digest[:]), Source: source}
	version := root.Int("version")
	if version < 0 {
		root.Fault("version", "must be 1 or more")
		version = 0
	}
	b.Version = uint64(version)
	tables := map[string]*tbtoml.Table{}
	for i, t := range root.Tables("services") {
		s := readService(t)
		b.Services = append(b.Services, s)
		tables[itemKey("services", s.Name, i)] = t
	}
	for i, t := range root.Tables("jobKinds") {
		k := readKind(t)
		b.Kinds = append(b.Kinds, k)
		tables[itemKey("jobKinds", k.Name, i)] = t
	}
	for i, t := range root.Tables("teams") {
		team := tbbundle.Team{Name: t.String("name"), Quota: readAmount(t)}
		b.Teams = append(b.Teams, team)
		tables[itemKey("teams", team.Name, i)] = t
	}
	for _, fault := range tbbundle.Validate(&b) {
		place(root, tables, fault)
	}
	return b, root.Finish()
}

// place adds a fault at the line of its key, unless the key itself is missing or unreadable.
func place(root *tbtoml.Table, tables map[string]*tbtoml.Table, fault tbbundle.Fault) {
	for item, t := range tables {
		key, ok := strings.CutPrefix(fault.Key, item+".")
		if !ok && fault.Key != item {
			continue
		}
		if !ok {
			key = ""
		}
		if key == "" || t.Has(key) {
			t.Fault(key, "%s", fault.Problem)
		}
		return
	}
	if root.Has(fault.Key) {
		root.Fault(fault.Key, "%s", fault.Problem)
	}
}

func itemKey(list, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return list + "." + name
}

func readService(t *tbtoml.Table) tbbundle.Service {
	return tbbundle.Service{
		Name:                 t.String("name"),
		TargetLatency:        t.Duration("targetLatency"),
		RunDeadline:          t.Duration("runDeadline"),
		Rank:                 int(t.Int("rank")),
		IdempotentMethods:    t.Strings("idempotentMethods"),
		RetryPercent:         int(t.IntOr("retryPercent", defaultRetryPercent)),
		IdempotencyRetention: t.DurationOr("idempotencyRetention", defaultRetention),
		ClaimLimit:           int(t.IntOr("claimLimit", defaultClaimLimit)),
		QueueLimit:           int(t.IntOr("queueLimit", defaultQueueLimit)),
		Replicas:             int(t.IntOr("replicas", 0)),
		Resources:            readOptionalAmount(t),
	}
}

func readKind(t *tbtoml.Table) tbbundle.JobKind {
	return tbbundle.JobKind{
		Name:            t.String("name"),
		Resources:       readAmount(t),
		Rank:            int(t.Int("rank")),
		ExpectedRunTime: t.Duration("expectedRunTime"),
		Checkpointable:  t.BoolOr("checkpointable", false),
		MaxFailures:     int(t.IntOr("maxFailures", defaultMaxFailures)),
	}
}

func readAmount(t *tbtoml.Table) tbresource.Amount {
	return tbresource.Amount{
		MilliProcessors: int64(t.Number("processors") * 1000),
		MemoryMB:        t.Int("memoryMB"),
		Accelerators:    t.IntOr("accelerators", 0),
	}
}

func readOptionalAmount(t *tbtoml.Table) tbresource.Amount {
	a := tbresource.Amount{MemoryMB: t.IntOr("memoryMB", 0), Accelerators: t.IntOr("accelerators", 0)}
	if t.Has("processors") {
		a.MilliProcessors = int64(t.Number("processors") * 1000)
	}
	return a
}
