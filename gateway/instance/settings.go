package instance

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"basilcross.example/basilcross/feature"
	"basilcross.example/platform"
	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of every flag's environment variable: --callers-listen
// is BASILCROSS_CALLERS_LISTEN.
const EnvPrefix = "BASILCROSS_"

// Settings configure an instance on the users' platform at its start. Bind
// describes each one; listeners and addresses are host:port.
type Settings struct {
	Instance       string
	Zone           string
	Region         string
	Regions        map[string]string
	CallersListen  string
	ReadyListen    string
	ControlListen  string
	DatagramListen string
	MetricsListen  string
	Store          string
	Seeds          []string
	LongestHold    time.Duration
	AddressReuse   time.Duration
	StopTimeout    time.Duration
	RetryRatio     float64
	RetrySlack     float64
	RetryWindow    time.Duration
	Cores          float64
	MemoryMB       int
	Contracts      []string
	Features       []string
	Bootstrap      bool
	LogLevel       string
	Pprof          bool
	// File is the settings file, and Reload reads all settings again. Both may be unset.
	File   string
	Reload func() (Settings, error)
}

// Defaults returns settings for an instance on the local host. On the platform at
// least the names and addresses must be set.
func Defaults() Settings {
	return Settings{
		Instance:       "gateway",
		Zone:           "local",
		Region:         "local",
		CallersListen:  "127.0.0.1:8080",
		ReadyListen:    "127.0.0.1:8083",
		ControlListen:  "127.0.0.1:8081",
		DatagramListen: "127.0.0.1:8084",
		Store:          "127.0.0.1:7000",
		LongestHold:    10 * time.Second,
		StopTimeout:    6 * time.Second,
		RetryRatio:     0.2,
		RetrySlack:     60,
		RetryWindow:    10 * time.Second,
		LogLevel:       "info",
	}
}

// Bind adds a flag for each setting, with the current values as defaults.
func (s *Settings) Bind(f *pflag.FlagSet) {
	f.StringVar(&s.Instance, "instance", s.Instance, "name of this instance, unique in the fleet")
	f.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this instance")
	f.StringVar(&s.Region, "region", s.Region, "region of the availability zone")
	f.StringToStringVar(&s.Regions, "regions", s.Regions, "region of each availability zone, as zone=region")
	f.StringVar(&s.CallersListen, "callers-listen", s.CallersListen, "address for callers")
	f.StringVar(&s.ReadyListen, "ready-listen", s.ReadyListen, "address for the platform's readiness probes")
	f.StringVar(&s.ControlListen, "control-listen", s.ControlListen, "address for other instances' calls")
	f.StringVar(&s.DatagramListen, "datagram-listen", s.DatagramListen, "address for other instances' datagrams")
	f.StringVar(&s.MetricsListen, "metrics-listen", s.MetricsListen, "address for metrics; empty: none")
	f.StringVar(&s.Store, "store", s.Store, "address of the platform's store")
	f.StringSliceVar(&s.Seeds, "seeds", s.Seeds, "control addresses of instances to fetch tables from while the store is unreachable")
	f.DurationVar(&s.LongestHold, "longest-hold", s.LongestHold, "longest time for which targets accept keys")
	f.DurationVar(&s.AddressReuse, "address-reuse", s.AddressReuse, "least time until a target's address is reused by another service; 0: none is guaranteed")
	f.DurationVar(&s.StopTimeout, "stop-timeout", s.StopTimeout, "time between the termination signal and the kill")
	f.Float64Var(&s.RetryRatio, "retry-ratio", s.RetryRatio, "retries allowed over all instances, per request")
	f.Float64Var(&s.RetrySlack, "retry-slack", s.RetrySlack, "retries allowed over all instances in addition to the ratio")
	f.DurationVar(&s.RetryWindow, "retry-window", s.RetryWindow, "time over which retries are counted against the ratio and the slack")
	f.Float64Var(&s.Cores, "cores", s.Cores, "CPU cores that this instance has, such as 0.5; instances with more coordinate first")
	f.IntVar(&s.MemoryMB, "memory-mb", s.MemoryMB, "memory of this instance in MB; 0: as the operating system reports")
	f.StringSliceVar(&s.Contracts, "contracts", s.Contracts, "the platform's contracts in force, which switch on the features that they call for")
	f.StringSliceVar(&s.Features, "features", s.Features, "features to switch on besides: "+strings.Join(feature.Names(), ", "))
	f.BoolVar(&s.Bootstrap, "bootstrap", s.Bootstrap, "the whole fleet starts for the first time: other instances are known only once all have written their rows")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.BoolVar(&s.Pprof, "pprof", s.Pprof, "serve profiles on the metrics address")
}

// FieldError is an invalid setting: its flag, its value, and what is expected.
type FieldError struct {
	Field string
	Value any
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("--%s = %q: want %s", e.Field, fmt.Sprint(e.Value), e.Want)
}

// Validate returns a *FieldError for each invalid setting, joined.
func (s *Settings) Validate() error {
	var errs []error
	check := func(ok bool, field string, value any, want string) {
		if !ok {
			errs = append(errs, &FieldError{Field: field, Value: value, Want: want})
		}
	}
	for _, n := range []struct{ field, value string }{{"instance", s.Instance}, {"zone", s.Zone}, {"region", s.Region}} {
		check(n.value != "" && !strings.ContainsAny(n.value, " \t\n"), n.field, n.value, "a name without spaces")
	}
	for _, a := range []struct{ field, value string }{
		{"callers-listen", s.CallersListen},
		{"ready-listen", s.ReadyListen},
		{"control-listen", s.ControlListen},
		{"datagram-listen", s.DatagramListen},
		{"store", s.Store},
	} {
		check(isAddress(a.value), a.field, a.value, "host:port")
	}
	for _, seed := range s.Seeds {
		check(isAddress(seed), "seeds", seed, "host:port")
	}
	check(s.MetricsListen == "" || isAddress(s.MetricsListen), "metrics-listen", s.MetricsListen, "host:port or nothing")
	check(s.LongestHold >= minLongestHold, "longest-hold", s.LongestHold, minLongestHold.String()+" or more")
	check(s.AddressReuse >= 0, "address-reuse", s.AddressReuse, "0 or more")
	check(s.StopTimeout >= time.Second, "stop-timeout", s.StopTimeout, "1s or more")
	check(s.RetryRatio >= 0 && s.RetryRatio <= 1, "retry-ratio", s.RetryRatio, "0 to 1")
	check(s.RetrySlack >= 0, "retry-slack", s.RetrySlack, "0 or more")
	check(s.RetryWindow >= minRetryWindow, "retry-window", s.RetryWindow, minRetryWindow.String()+" or more")
	check(s.Cores >= 0, "cores", s.Cores, "0 or more")
	check(s.MemoryMB >= 0, "memory-mb", s.MemoryMB, "0 or more")
	_, err := s.FeatureSet()
	check(err == nil, "features", strings.Join(s.Features, ","), "some of "+strings.Join(feature.Names(), ", "))
	check(slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log-level", s.LogLevel, "debug, info, warn or error")
	return errors.Join(errs...)
}

// MemoryBytes returns the memory of the instance: the setting, or else the machine's total. It is 0 if
// neither is available.
func (s *Settings) MemoryBytes() int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kilobytes int64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// FeatureSet returns the features that the contracts in force call for and those that are named. The
// error is a *feature.NameError for each unknown one, joined.
func (s *Settings) FeatureSet() (feature.Set, error) {
	return feature.Parse(slices.Concat(platform.Features(s.Contracts), s.Features))
}

// minRetryWindow is above the time from a request to its last retry that the limits allow for.
const minRetryWindow = time.Second

// minLongestHold is the time that the coordinator's lease and one renewal need.
const minLongestHold = 3 * time.Second

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// Load sets each flag that was not given, from its environment variable, or else
// from the lines NAME=value of the settings file, if one is named. Unknown names in
// the file are ignored: newer platforms may add some. It returns an error if the
// file cannot be read, or a FieldError for every value that does not parse, joined.
func Load(f *pflag.FlagSet, file string, lookup func(string) (string, bool)) error {
	lines := map[string]string{}
	if file != "" {
		var err error
		if lines, err = readLines(file); err != nil {
			return fmt.Errorf("read settings file %q: %w", file, err)
		}
	}
	var errs []error
	f.VisitAll(func(flag *pflag.Flag) {
		name := EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		value, ok := lookup(name)
		if !ok {
			value, ok = lines[name]
		}
		if !ok || flag.Changed || value == "" {
			return
		}
		if err := flag.Value.Set(value); err != nil {
			errs = append(errs, &FieldError{Field: flag.Name, Value: value, Want: err.Error()})
		}
	})
	return errors.Join(errs...)
}

func readLines(file string) (map[string]string, error) {
	f, err := os.Open(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines := map[string]string{}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		text := strings.TrimSpace(scanner.Text())
		name, value, ok := strings.Cut(text, "=")
		if ok && !strings.HasPrefix(text, "#") {
			lines[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
	}
	return lines, scanner.Err()
}
