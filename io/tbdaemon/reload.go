package tbdaemon

import (
	"os"
	"time"

	"tamarackbarrow/io/tbsettings"
)

// reloadPollInterval is how often the settings file is checked for changes. The file may change
// without a signal to the process.
const reloadPollInterval = time.Second

// WatchSettings starts to watch a settings file until the daemon stops. The file is reloaded when its
// modification time or size changes and when hup receives a signal.
//
// Only the seeds of the control group are applied in a running process: new seeds are added. An
// invalid file is logged and changes nothing.
func (d *Daemon) WatchSettings(file string, hup <-chan os.Signal) {
	d.spawn(func() {
		loadedVersion := statVersion(file)
		ticker := time.NewTicker(reloadPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.ctx.Done():
				return
			case <-hup:
				loadedVersion = statVersion(file)
				d.reload(file, "signal")
			case <-ticker.C:
				if currentVersion := statVersion(file); currentVersion != loadedVersion {
					loadedVersion = currentVersion
					d.reload(file, "changed file")
				}
			}
		}
	})
}

// fileVersion is compared to detect that a file has changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// statVersion returns the version of a file. It returns the zero value if the file cannot be found;
// reload then logs the error.
func statVersion(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}

func (d *Daemon) reload(file, cause string) {
	s, err := tbsettings.Load(file)
	if err != nil {
		d.log.Error("settings not reloaded", "cause", cause, "error", err)
		d.counters.add("settings.reloadRefused")
		return
	}
	if s.Group != nil {
		d.directory.add(s.Group.Seeds)
	}
	d.log.Info("settings reloaded", "cause", cause)
	d.counters.add("settings.reloaded")
}
