package instance

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"basilcross.example/basilcross/event"
)

// fileCheckInterval is how often the settings file's modification time is checked:
// it may change without a signal.
const fileCheckInterval = 2 * time.Second

// reloader reloads the settings on SIGHUP and when the file has changed. Seeds and
// the limits on retries take effect at once; the others need a restart.
type reloader struct{ *Instance }

// Serve waits for signals and changes of the file until the context ends.
func (r *reloader) Serve(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(fileCheckInterval)
	defer tick.Stop()
	last := r.modTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			last = r.modTime()
			r.reload("signal")
		case <-tick.C:
			if now := r.modTime(); !now.Equal(last) {
				last = now
				r.reload("file")
			}
		}
	}
}

// modTime returns the settings file's modification time; zero if there is no file.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.settings.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

var errReloadUnsupported = errors.New("settings cannot be reloaded: no reload function is set")

// reload applies the settings read now, or keeps the old ones if any is invalid.
func (r *reloader) reload(reason string) {
	next, err := Settings{}, errReloadUnsupported
	if r.settings.Reload != nil {
		next, err = r.settings.Reload()
	}
	if err != nil {
		event.Reloaded.Log(r.log, "reason", reason, "kept", true, "error", err)
		return
	}
	old := r.liveSettings.Swap(&next)
	event.Reloaded.Log(r.log, "reason", reason, "seedsChanged", !slices.Equal(old.Seeds, next.Seeds),
		"retryRatio", next.RetryRatio, "retrySlack", next.RetrySlack, "needsRestart", needsRestart(r.settings, next))
}

func needsRestart(started, next Settings) bool {
	return started.CallersListen != next.CallersListen || started.ReadyListen != next.ReadyListen ||
		started.ControlListen != next.ControlListen || started.DatagramListen != next.DatagramListen ||
		started.Store != next.Store || started.Zone != next.Zone || started.Instance != next.Instance ||
		started.LongestHold != next.LongestHold || started.AddressReuse != next.AddressReuse || started.StopTimeout != next.StopTimeout
}
