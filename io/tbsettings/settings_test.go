package tbsettings

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/io/tbmachine"
)

const validSettings = `id = "entry-1"
dataCentre = "north"
callerAddress = "127.0.0.1:7000"
peerAddress = "127.0.0.1:7001"
dataFolder = "data"
replicaId = 1

[[control]]
replicaId = 1
peerAddress = "127.0.0.1:7001"
`

func TestParseAppliesDefaults(t *testing.T) {
	s, err := Parse("good.toml", []byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.PeerListenAddress, qt.Equals, "127.0.0.1:7001")
	qt.Check(t, s.Policies.Handover, qt.IsTrue)
}

func TestParseReportsEveryErrorWithItsLine(t *testing.T) {
	_, err := Parse("bad.toml", []byte(`id = ""
dataCentre = 7
callerAddress = "example.com:7000"
peerAddress = "127.0.0.1:7001"
replicaID = 1

[[control]]
replicaId = 1
peerAddress = "127.0.0.1:99999"

[times]
heartbeat = "1s"
`))
	qt.Assert(t, err, qt.IsNotNil)
	qt.Check(t, err.Error(), qt.Equals, `bad.toml:1: id: must not be empty
bad.toml:2: dataCentre: must be a string, is 7
bad.toml:3: callerAddress: must be an IP number with a port such as "10.0.0.1:7000", is "example.com:7000"
bad.toml:5: replicaID: unknown key
bad.toml:9: control[0].peerAddress: port must be from 1 to 65535, is "99999"
bad.toml:12: times.heartbeat: must be at most a third of electionTimeout (600ms), is 1s`)
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	_, err := Parse("bad.toml", []byte("id = \"x\"\ndataCentre = \n"))
	qt.Assert(t, err, qt.ErrorMatches, `bad\.toml:2: .*`)
}

// Whatever a settings file contains is parsed or refused, without a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("id = \"a\"\ndataCentre = \"z\"\ncallerAddress = \"127.0.0.1:1\"\n[group]\nseeds = [\"127.0.0.1:2\"]\n[workers]\nlease = \"1s\"\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse("settings", data) })
}

func TestParseReadsLimits(t *testing.T) {
	s, err := Parse("good.toml", []byte(validSettings))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Limits, qt.Equals, DefaultLimits())
	s, err = Parse("good.toml", []byte(validSettings+"[limits]\nmemoryMB = 184\nbodyTimeout = \"5s\"\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Limits.MemoryMB, qt.Equals, int64(184))
	qt.Check(t, s.Limits.BodyTimeout, qt.Equals, 5*time.Second)
	_, err = Parse("bad.toml", []byte(validSettings+"[limits]\nmemoryMB = 8\nheads = 1\n"))
	qt.Check(t, err, qt.ErrorMatches, `bad\.toml:12: limits\.memoryMB: must be 32 or more, is 8\nbad\.toml:13: limits\.heads: unknown key`)
}

// Limits that the settings do not name follow what the process may use; those that they name stay.
func TestLimitsFollowTheMachine(t *testing.T) {
	small := tbmachine.Resources{
		Memory: 400 << 20, MemorySource: "the machine's memory", FreeMemory: 300 << 20, FreeMemorySource: "three quarters of it", Descriptors: 1024,
	}
	for _, c := range []struct {
		settings            string
		machine             tbmachine.Resources
		memory, descriptors int64
		text                string
		warnings            int
	}{
		{"", small, 300, 1024, `memoryMB = 300 (three quarters of it), descriptors = 1024 (RLIMIT_NOFILE)`, 0},
		{"", tbmachine.Resources{}, 4096, 4096, `memoryMB = 4096 (default), descriptors = 4096 (default)`, 0},
		{"", tbmachine.Resources{Memory: 1 << 40, FreeMemory: 1 << 40, Descriptors: 1 << 20}, 4096, 4096, `memoryMB = 4096 (default), descriptors = 4096 (default)`, 0},
		{"", tbmachine.Resources{Memory: 8 << 20, MemorySource: "m", FreeMemory: 8 << 20, FreeMemorySource: "m", Descriptors: 16}, 32, 64, `memoryMB = 32 (m), descriptors = 64 (RLIMIT_NOFILE)`, 2},
		{"memoryMB = 184\n", small, 184, 1024, `memoryMB = 184 (settings), descriptors = 1024 (RLIMIT_NOFILE)`, 0},
		{"memoryMB = 400\n", small, 400, 1024, `memoryMB = 400 (settings), descriptors = 1024 (RLIMIT_NOFILE)`, 0},
		{"memoryMB = 4096\ndescriptors = 4096\n", small, 4096, 4096, `memoryMB = 4096 (settings), descriptors = 4096 (settings)`, 2},
	} {
		s, err := Parse("good.toml", []byte(validSettings+"[limits]\n"+c.settings))
		qt.Assert(t, err, qt.IsNil)
		l := s.Limits.Within(c.machine)
		qt.Check(t, l.MemoryMB, qt.Equals, c.memory)
		qt.Check(t, l.Descriptors, qt.Equals, c.descriptors)
		qt.Check(t, l.String(), qt.Equals, c.text)
		qt.Check(t, l.Excess(c.machine), qt.HasLen, c.warnings)
	}
}
