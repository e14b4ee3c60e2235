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

// fileCheckInterval is how often the settings file is looked at: it may change without
// a signal.
const fileCheckInterval = 2 * time.Second

// reloader reads the settings anew on SIGHUP and when the file has changed.
// Seeds and the limits on retries change at once; the rest takes a restart.
type reloader struct{ *Instance }

// Serve watches until the context ends.
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

// modTime returns when the file changed last; zero if there is none.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.settings.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// errReloadUnsupported is for instances that were started without a way to do it.
var errReloadUnsupported = errors.New("settings cannot be read anew")

// reload puts new settings in force, or keeps the old ones if any is faulty.
func (r *reloader) reload(why string) {
	next, err := Settings{}, errReloadUnsupported
	if r.settings.Reload != nil {
		next, err = r.settings.Reload()
	}
	if err != nil {
		event.Reloaded.Log(r.log, "reason", why, "kept", true, "error", err)
		return
	}
	old := r.liveSettings.Swap(&next)
	event.Reloaded.Log(r.log, "reason", why, "seedsChanged", !slices.Equal(old.Seeds, next.Seeds),
		"retryRatio", next.RetryRatio, "retrySlack", next.RetrySlack, "needsRestart", needsRestart(r.settings, next))
}

// needsRestart tells whether a setting changed that is read at the start only.
func needsRestart(started, next Settings) bool {
	return started.CallersListen != next.CallersListen || started.ReadyListen != next.ReadyListen ||
		started.ControlListen != next.ControlListen || started.DatagramListen != next.DatagramListen ||
		started.Store != next.Store || started.Zone != next.Zone || started.Instance != next.Instance ||
		started.LongestHold != next.LongestHold || started.AddressReuse != next.AddressReuse || started.StopTimeout != next.StopTimeout
}
