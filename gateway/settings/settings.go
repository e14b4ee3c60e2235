// Package settings defines the daemon's settings, which are read from flags and
// environment variables.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"basilcross.example/basilcross/platform"
	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of the environment variables. The variable of
// --callers-listen is BASILCROSS_CALLERS_LISTEN.
const EnvPrefix = "BASILCROSS_"

// Settings configure an instance that runs as a daemon. The flags' usage texts describe
// the fields.
type Settings struct {
	Instance         string
	Zone             string
	Region           string
	CallersListen    string
	ControlListen    string
	AdminListen      string
	Advertise        string
	PlatformURL      string
	Peers            []string
	EgressProxy      string
	Targets          []string
	LogFormat        string
	LogLevel         string
	Pprof            bool
	ReadTokenFile    string
	ChangeTokenFile  string
	TLSCertFile      string
	TLSKeyFile       string
	TLSAuthorityFile string
	DrainWait        time.Duration
	StopTimeout      time.Duration
}

// Defaults returns settings for a single instance without a platform.
func Defaults() Settings {
	host, err := os.Hostname()
	if err != nil || host == "" {
		host = "gateway"
	}
	return Settings{
		Instance:      host,
		Zone:          "local",
		Region:        "local",
		CallersListen: "127.0.0.1:8080",
		ControlListen: "127.0.0.1:8081",
		AdminListen:   "127.0.0.1:8082",
		LogFormat:     "json",
		LogLevel:      "info",
		DrainWait:     2 * time.Second,
		StopTimeout:   30 * time.Second,
	}
}

// Bind adds a flag for each setting, with the current values as defaults.
func (s *Settings) Bind(f *pflag.FlagSet) {
	f.StringVar(&s.Instance, "instance", s.Instance, "name of this instance, unique in the fleet")
	f.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this instance")
	f.StringVar(&s.Region, "region", s.Region, "region of the availability zone")
	f.StringVar(&s.CallersListen, "callers-listen", s.CallersListen, "address for callers")
	f.StringVar(&s.ControlListen, "control-listen", s.ControlListen, "address for other instances")
	f.StringVar(&s.AdminListen, "admin-listen", s.AdminListen, "address for operators, metrics and health")
	f.StringVar(&s.Advertise, "advertise", s.Advertise, "address at which other instances reach control-listen; empty: control-listen itself")
	f.StringVar(&s.PlatformURL, "platform", s.PlatformURL, "URL of the platform's table service; empty: a table in memory, for one instance")
	f.StringSliceVar(&s.Peers, "peers", s.Peers, "control addresses of other instances, called while the platform is unreachable")
	f.StringVar(&s.EgressProxy, "egress-proxy", s.EgressProxy, "address of an HTTP CONNECT proxy for outgoing connections")
	f.StringSliceVar(&s.Targets, "target", s.Targets, "without a platform: a target as service/id=host:port")
	f.StringVar(&s.LogFormat, "log-format", s.LogFormat, "json or text")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.StringVar(&s.ReadTokenFile, "read-token-file", s.ReadTokenFile, "file with a bearer token for reads only on the admin address; empty: there is none")
	f.StringVar(&s.ChangeTokenFile, "change-token-file", s.ChangeTokenFile, "file with the bearer token for reads and changes on the admin address; empty: no token is required")
	f.StringVar(&s.TLSCertFile, "tls-cert", s.TLSCertFile, "certificate for calls between instances, PEM; empty: no TLS")
	f.StringVar(&s.TLSKeyFile, "tls-key", s.TLSKeyFile, "key of the certificate, PEM")
	f.StringVar(&s.TLSAuthorityFile, "tls-authority", s.TLSAuthorityFile, "certificate of the authority that issued all instances' certificates, PEM")
	f.BoolVar(&s.Pprof, "pprof", s.Pprof, "serve profiles on the admin address")
	f.DurationVar(&s.DrainWait, "drain-wait", s.DrainWait, "time between failing readiness and closing the listener")
	f.DurationVar(&s.StopTimeout, "stop-timeout", s.StopTimeout, "longest wait for requests in flight at shutdown")
}

// ApplyEnvironment sets each flag that was not given on the command line from its
// environment variable. The error joins a *FieldError for each invalid value.
func ApplyEnvironment(f *pflag.FlagSet, lookup func(string) (string, bool)) error {
	var errs []error
	f.VisitAll(func(flag *pflag.Flag) {
		name := EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		value, ok := lookup(name)
		if !ok || flag.Changed {
			return
		}
		if err := flag.Value.Set(value); err != nil {
			errs = append(errs, &FieldError{Field: name, Value: value, Want: err.Error()})
		}
	})
	return errors.Join(errs...)
}

// FieldError reports an invalid value of a setting, and what values are valid.
type FieldError struct {
	Field string
	Value any
	Want  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("--%s = %q: want %s", e.Field, fmt.Sprint(e.Value), e.Want)
}

const (
	maxDrainWait   = 5 * time.Minute
	maxStopTimeout = time.Hour
)

// Validate checks all settings. The error joins a *FieldError for each invalid one.
func (s *Settings) Validate() error {
	var errs []error
	check := func(ok bool, field string, value any, want string) {
		if !ok {
			errs = append(errs, &FieldError{Field: field, Value: value, Want: want})
		}
	}
	check(isName(s.Instance), "instance", s.Instance, "1 to 63 letters, digits, dots or dashes")
	check(isName(s.Zone), "zone", s.Zone, "1 to 63 letters, digits, dots or dashes")
	check(isName(s.Region), "region", s.Region, "1 to 63 letters, digits, dots or dashes")
	check(isAddress(s.CallersListen), "callers-listen", s.CallersListen, "host:port")
	check(isAddress(s.ControlListen), "control-listen", s.ControlListen, "host:port")
	check(isAddress(s.AdminListen), "admin-listen", s.AdminListen, "host:port")
	check(s.Advertise == "" || isAddress(s.Advertise), "advertise", s.Advertise, "host:port or nothing")
	check(s.EgressProxy == "" || isAddress(s.EgressProxy), "egress-proxy", s.EgressProxy, "host:port or nothing")
	check(s.PlatformURL == "" || strings.HasPrefix(s.PlatformURL, "http://") || strings.HasPrefix(s.PlatformURL, "https://"),
		"platform", s.PlatformURL, "an http:// or https:// URL or nothing")
	for _, p := range s.Peers {
		check(isAddress(p), "peers", p, "host:port")
	}
	check(s.PlatformURL == "" || len(s.Targets) == 0, "target", s.Targets, "nothing, since the platform lists the targets")
	check(s.ReadTokenFile == "" || s.ChangeTokenFile != "", "change-token-file", s.ChangeTokenFile, "a file, since reads require a token")
	check(allOrNone(s.TLSCertFile, s.TLSKeyFile, s.TLSAuthorityFile), "tls-cert", s.TLSCertFile, "set together with --tls-key and --tls-authority, or none of them")
	check(s.LogFormat == "json" || s.LogFormat == "text", "log-format", s.LogFormat, "json or text")
	check(slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log-level", s.LogLevel, "debug, info, warn or error")
	check(s.DrainWait >= 0 && s.DrainWait <= maxDrainWait, "drain-wait", s.DrainWait, "0s to 5m")
	check(s.StopTimeout > 0 && s.StopTimeout <= maxStopTimeout, "stop-timeout", s.StopTimeout, "more than 0s and at most 1h")
	return errors.Join(errs...)
}

func allOrNone(values ...string) bool {
	set := 0
	for _, t := range values {
		if t != "" {
			set++
		}
	}
	return set == 0 || set == len(values)
}

func isName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '.' && r != '-'
	}) < 0
}

func isAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// AdvertisedAddress returns the address at which other instances reach this one.
func (s *Settings) AdvertisedAddress() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.ControlListen
}

// defaultSlots is the number of slots of a target given on the command line.
const defaultSlots = 4

// ParseTargets parses the targets given on the command line. The error is a
// *FieldError.
func (s *Settings) ParseTargets() ([]platform.Instance, error) {
	targets := make([]platform.Instance, 0, len(s.Targets))
	for _, text := range s.Targets {
		name, address, hasAddress := strings.Cut(text, "=")
		service, id, hasID := strings.Cut(name, "/")
		if !hasAddress || !hasID || !isAddress(address) {
			return nil, &FieldError{Field: "target", Value: text, Want: "service/id=host:port"}
		}
		targets = append(targets, platform.Instance{
			ID: id, Zone: s.Zone, Region: s.Region, Address: address,
			Role: platform.TargetRole, Service: service, Slots: defaultSlots, Fenced: true,
		})
	}
	return targets, nil
}
