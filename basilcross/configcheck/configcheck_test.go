package configcheck_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/configcheck"
	"basilcross.example/basilcross/routing"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var names = configcheck.FieldNames{
	Version: "version", Routes: "routes", Services: "services", Limits: "limits", Name: "name", Host: "host", Prefix: "prefix",
	Type: "type", Timeout: "timeout", Objective: "objective", Priority: "priority", MaxAttempts: "maxAttempts", Service: "service",
	Split: "split", Weight: "weight", Regions: "regions", HealthPath: "healthPath", MaxConns: "maxConns", Sharded: "sharded",
	WarmupTime: "warmupTime", ColdTime: "coldTime", ColdRate: "coldRate", HeaderBytes: "headerBytes", BodyBytes: "bodyBytes",
	HeaderTimeout: "headerTimeout", IdleTimeout: "idleTimeout",
}

func randomConfig(t *rapid.T) *routing.Config {
	c := &routing.Config{Version: rapid.Uint64Range(1, 3).Draw(t, "version")}
	// Two routes in three have names of their own, and few hosts and prefixes.
	for range rapid.IntRange(0, 5).Draw(t, "routes") {
		c.Routes = append(c.Routes, routing.Route{
			Name: fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "name")), Host: rapid.SampledFrom([]string{"a", "A", "b"}).Draw(t, "host"),
			Prefix: rapid.SampledFrom([]string{"/", "/x/", "/x", "y/"}).Draw(t, "prefix"), Type: routing.Safe{},
			Timeout: time.Second, Objective: time.Second, MaxAttempts: 2, Split: []routing.Share{{Service: "s", Weight: 1}},
		})
	}
	c.Services = []routing.Service{{Name: "s"}}
	return c
}

// Guards against routes that never match and are not reported, and against those that do match and are: each
// route is compared with what the table finds.
func TestRoutesThatNeverMatchAreErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := randomConfig(t)
		report := configcheck.Check(c, configcheck.Options{Names: names})
		reported := map[string]bool{}
		for _, f := range report.Errors {
			reported[f.Path] = true
		}
		table := routing.New(c)
		for i := range c.Routes {
			r := &c.Routes[i]
			path := fmt.Sprintf("routes[%d]", i)
			matches := table.Find(r.Host, r.Prefix) == r && r.Prefix[0] == '/'
			if matches == (reported[path] || reported[path+".prefix"]) {
				t.Fatalf("%s matches: %v, errors: %v", path, matches, report.Errors)
			}
		}
	})
}

// Guards against changes that are reported although there are none, and against those that are missed.
func TestDiffReportsWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := randomConfig(t), randomConfig(t)
		assert.Equal(t, len(configcheck.Diff(a, a, names)), 0)
		changed := map[string]bool{}
		for _, c := range configcheck.Diff(a, b, names) {
			changed[c.Entry] = true
		}
		last := func(c *routing.Config) map[string]string {
			m := map[string]string{}
			for _, r := range c.Routes {
				m["route "+r.Name] = r.Host + " " + r.Prefix
			}
			return m
		}
		before, after := last(a), last(b)
		for name := range before {
			after[name] += ""
		}
		for name := range after {
			if changed[name] != (before[name] != after[name]) {
				t.Fatalf("%s: %q, then %q; changes: %v", name, before[name], after[name], changed)
			}
		}
		if changed["configuration"] != (a.Version != b.Version) {
			t.Fatalf("versions %d and %d, changes: %v", a.Version, b.Version, changed)
		}
	})
}

// Guards against a version that is sent although instances ignore it.
func TestOnlyNewerVersionsComeIntoForce(t *testing.T) {
	for version, errors := range map[uint64]int{6: 1, 7: 1, 8: 0} {
		got := configcheck.CheckVersion(&routing.Config{Version: 7}, &routing.Config{Version: version}, names)
		assert.Equal(t, len(got), errors, "version %d", version)
	}
}
