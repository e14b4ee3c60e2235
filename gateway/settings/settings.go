// Package settings has the daemon's settings: flags, and the same by
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

// EnvPrefix begins the environment variable of every flag: --callers-listen
// is BASILCROSS_CALLERS_LISTEN.
const EnvPrefix = "BASILCROSS_"

// Settings are what an instance must know before it can ask anybody.
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

// Defaults returns settings with which one instance starts on its own.
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

// Bind adds a flag for each setting, with the present values as defaults.
func (s *Settings) Bind(f *pflag.FlagSet) {
	f.StringVar(&s.Instance, "instance", s.Instance, "name of this instance, unique in the fleet")
	f.StringVar(&s.Zone, "zone", s.Zone, "availability zone of this instance")
	f.StringVar(&s.Region, "region", s.Region, "region of the availability zone")
	f.StringVar(&s.CallersListen, "callers-listen", s.CallersListen, "address for callers")
	f.StringVar(&s.ControlListen, "control-listen", s.ControlListen, "address for other instances")
	f.StringVar(&s.AdminListen, "admin-listen", s.AdminListen, "address for operators, metrics and health")
	f.StringVar(&s.Advertise, "advertise", s.Advertise, "address under which other instances reach control-listen; empty: the same")
	f.StringVar(&s.PlatformURL, "platform", s.PlatformURL, "URL of the platform's table service; empty: a table in memory, for one instance")
	f.StringSliceVar(&s.Peers, "peers", s.Peers, "control addresses to ask while the platform is out of reach")
	f.StringVar(&s.EgressProxy, "egress-proxy", s.EgressProxy, "address of an HTTP CONNECT proxy for outgoing connections")
	f.StringSliceVar(&s.Targets, "target", s.Targets, "without a platform: a target as service/id=host:port")
	f.StringVar(&s.LogFormat, "log-format", s.LogFormat, "json or text")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.StringVar(&s.ReadTokenFile, "read-token-file", s.ReadTokenFile, "file with the bearer token that may read on the admin address; empty: nothing is asked for")
	f.StringVar(&s.ChangeTokenFile, "change-token-file", s.ChangeTokenFile, "file with the bearer token that may read and change")
	f.StringVar(&s.TLSCertFile, "tls-cert", s.TLSCertFile, "certificate for calls between instances, PEM; empty: no TLS")
	f.StringVar(&s.TLSKeyFile, "tls-key", s.TLSKeyFile, "key of the certificate, PEM")
	f.StringVar(&s.TLSAuthorityFile, "tls-authority", s.TLSAuthorityFile, "certificate of the authority that all instances' certificates come from, PEM")
	f.BoolVar(&s.Pprof, "pprof", s.Pprof, "serve profiles on the admin address")
	f.DurationVar(&s.DrainWait, "drain-wait", s.DrainWait, "time between failing readiness and closing the listener")
	f.DurationVar(&s.StopTimeout, "stop-timeout", s.StopTimeout, "longest wait for requests in flight at shutdown")
}

// ApplyEnvironment sets each flag that was not given from its variable.
func ApplyEnvironment(f *pflag.FlagSet, lookup func(string) (string, bool)) error {
	var faults []error
	f.VisitAll(func(flag *pflag.Flag) {
		name := EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_"))
		value, ok := lookup(name)
		if !ok || flag.Changed {
			return
		}
		if err := flag.Value.Set(value); err != nil {
			faults = append(faults, &FieldError{Field: name, Value: value, Want: err.Error()})
		}
	})
	return errors.Join(faults...)
}

// FieldError is one fault in the settings.
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

// Validate reports every fault, joined.
func (s *Settings) Validate() error {
	var faults []error
	check := func(ok bool, field string, value any, want string) {
		if !ok {
			faults = append(faults, &FieldError{Field: field, Value: value, Want: want})
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
	check(s.ReadTokenFile == "" || s.ChangeTokenFile != "", "change-token-file", s.ChangeTokenFile, "a file, since reading asks for a token")
	check(allOrNone(s.TLSCertFile, s.TLSKeyFile, s.TLSAuthorityFile), "tls-cert", s.TLSCertFile, "set together with --tls-key and --tls-authority, or none of them")
	check(s.LogFormat == "json" || s.LogFormat == "text", "log-format", s.LogFormat, "json or text")
	check(slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel), "log-level", s.LogLevel, "debug, info, warn or error")
	check(s.DrainWait >= 0 && s.DrainWait <= maxDrainWait, "drain-wait", s.DrainWait, "0s to 5m")
	check(s.StopTimeout > 0 && s.StopTimeout <= maxStopTimeout, "stop-timeout", s.StopTimeout, "more than 0s and at most 1h")
	return errors.Join(faults...)
}

func allOrNone(texts ...string) bool {
	set := 0
	for _, t := range texts {
		if t != "" {
			set++
		}
	}
	return set == 0 || set == len(texts)
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

// AdvertisedAddress returns the address under which other instances reach this one.
func (s *Settings) AdvertisedAddress() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.ControlListen
}

// defaultSlots is what a target on the command line is taken to have.
const defaultSlots = 4

// ParseTargets parses the targets given without a platform.
func (s *Settings) ParseTargets() ([]platform.Instance, error) {
	listed := make([]platform.Instance, 0, len(s.Targets))
	for _, text := range s.Targets {
		name, address, hasAddress := strings.Cut(text, "=")
		service, id, hasID := strings.Cut(name, "/")
		if !hasAddress || !hasID || !isAddress(address) {
			return nil, &FieldError{Field: "target", Value: text, Want: "service/id=host:port"}
		}
		listed = append(listed, platform.Instance{
			ID: id, Zone: s.Zone, Region: s.Region, Address: address,
			Role: platform.TargetRole, Service: service, Slots: defaultSlots, Fenced: true,
		})
	}
	return listed, nil
}
