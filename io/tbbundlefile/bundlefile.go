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

// Defaults of optional keys.
const (
	defaultRetryPercent         = 10
	defaultIdempotencyRetention = time.Hour
	defaultClaimLimit           = 1_000_000
	defaultQueueLimit           = 1000
	defaultMaxFailures          = 3
)

// Parse decodes and checks a bundle. The error is a tbtoml.Errors with every error found; file is
// used only in the error text.
func Parse(file string, source []byte) (tbbundle.Bundle, error) {
	root, err := tbtoml.Parse(file, source)
	if err != nil {
		return tbbundle.Bundle{}, err
	}
	digest := sha256.Sum256(source)
	b := tbbundle.Bundle{Digest: hex.EncodeToString(digest[:]), Source: source}
	version := root.Int("version")
	// A negative version is reported here, because Bundle.Version is unsigned. Validate reports a
	// version of 0 as an error.
	if version < 0 {
		root.Errorf("version", "must be 1 or more")
		version = 0
	}
	b.Version = uint64(version)
	tablesByPath := map[string]*tbtoml.Table{}
	for i, t := range root.Tables("services") {
		s := readService(t)
		b.Services = append(b.Services, s)
		tablesByPath[itemPath("services", s.Name, i)] = t
	}
	for i, t := range root.Tables("jobKinds") {
		k := readJobKind(t)
		b.Kinds = append(b.Kinds, k)
		tablesByPath[itemPath("jobKinds", k.Name, i)] = t
	}
	for i, t := range root.Tables("teams") {
		team := tbbundle.Team{Name: t.String("name"), Quota: readResources(t)}
		b.Teams = append(b.Teams, team)
		tablesByPath[itemPath("teams", team.Name, i)] = t
	}
	for _, e := range tbbundle.Validate(&b) {
		reportError(root, tablesByPath, e)
	}
	return b, root.Finish()
}

// reportError records an error at the line of its key. It skips an error whose key is absent from the
// file, since an absent required key has been reported already.
func reportError(root *tbtoml.Table, tablesByPath map[string]*tbtoml.Table, e tbbundle.Error) {
	for path, t := range tablesByPath {
		key, ok := strings.CutPrefix(e.Key, path+".")
		if !ok && e.Key != path {
			continue
		}
		if !ok {
			key = ""
		}
		if key == "" || t.Has(key) {
			t.Errorf(key, "%s", e.Message)
		}
		return
	}
	if root.Has(e.Key) {
		root.Errorf(e.Key, "%s", e.Message)
	}
}

// itemPath returns the path of a list item as tbbundle.Validate writes it at the start of Error.Key.
func itemPath(list, name string, i int) string {
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
		IdempotencyRetention: t.DurationOr("idempotencyRetention", defaultIdempotencyRetention),
		ClaimLimit:           int(t.IntOr("claimLimit", defaultClaimLimit)),
		QueueLimit:           int(t.IntOr("queueLimit", defaultQueueLimit)),
		Replicas:             int(t.IntOr("replicas", 0)),
		Resources:            readOptionalResources(t),
	}
}

func readJobKind(t *tbtoml.Table) tbbundle.JobKind {
	return tbbundle.JobKind{
		Name:            t.String("name"),
		Resources:       readResources(t),
		Rank:            int(t.Int("rank")),
		ExpectedRunTime: t.Duration("expectedRunTime"),
		Checkpointable:  t.BoolOr("checkpointable", false),
		MaxFailures:     int(t.IntOr("maxFailures", defaultMaxFailures)),
	}
}

func readResources(t *tbtoml.Table) tbresource.Amount {
	return tbresource.Amount{
		MilliProcessors: int64(t.Number("processors") * 1000),
		MemoryMB:        t.Int("memoryMB"),
		Accelerators:    t.IntOr("accelerators", 0),
	}
}

// readOptionalResources returns the resources of one replica of a service; amounts that are not
// declared are 0.
func readOptionalResources(t *tbtoml.Table) tbresource.Amount {
	a := tbresource.Amount{MemoryMB: t.IntOr("memoryMB", 0), Accelerators: t.IntOr("accelerators", 0)}
	if t.Has("processors") {
		a.MilliProcessors = int64(t.Number("processors") * 1000)
	}
	return a
}
