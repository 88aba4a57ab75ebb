package tbdaemon

import (
	"github.com/hashicorp/go-hclog"

	"tamarackbarrow/core/tbintake"
	"tamarackbarrow/io/tbhttp"
	"tamarackbarrow/io/tbpeer"
	"tamarackbarrow/io/tbsettings"
)

// NewIntake returns an intake with the limits of the settings. count adds 1 to the counter with the
// given name.
func NewIntake(l tbsettings.Limits, count func(name string), log hclog.Logger) *tbhttp.Intake {
	return tbhttp.New(tbhttp.Options{
		Limits:       tbintake.LimitsOf(l.MemoryMB<<20, int(l.Descriptors)),
		MaxHeadBytes: l.MaxHeadBytes, MaxBodyBytes: l.MaxBodyBytes, HeadTimeout: l.HeadTimeout, BodyTimeout: l.BodyTimeout,
		AnswerTimeout: l.AnswerTimeout,
		Count:         count, Log: log,
	})
}

// peerLimits returns the limits for the connections of peers. An instance without the control role gets no more from peers
// than calls that were handed over.
func (d *Daemon) peerLimits() tbintake.Limits {
	largest := int64(maxRequestBytes)
	if d.storage != nil {
		largest = tbpeer.MaxMessageBytes
	}
	return tbpeer.LimitsOf(d.settings.Limits.MemoryMB<<20, int(d.settings.Limits.Descriptors), largest)
}

// Intake returns the intake of all servers of the process.
func (d *Daemon) Intake() *tbhttp.Intake { return d.intake }
