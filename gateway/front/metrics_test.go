package front_test

import (
	"os"
	"strings"
	"testing"

	"basilcross.example/gateway/front"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Guards against a metric of the package that docs/METRICS.md doesn't describe.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	registry := &metricNames{}
	front.NewMetrics(registry)
	assert.Equal(t, len(registry.found), 15)
	for _, name := range registry.found {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), name)
	}
}

// metricNames is a prometheus.Registerer that only records the metrics' names.
type metricNames struct{ found []string }

func (n *metricNames) Register(c prometheus.Collector) error {
	descriptions := make(chan *prometheus.Desc, 10)
	c.Describe(descriptions)
	close(descriptions)
	for d := range descriptions {
		_, rest, _ := strings.Cut(d.String(), `fqName: "`)
		name, _, _ := strings.Cut(rest, `"`)
		n.found = append(n.found, name)
	}
	return nil
}

func (n *metricNames) MustRegister(list ...prometheus.Collector) {
	for _, c := range list {
		_ = n.Register(c)
	}
}

func (n *metricNames) Unregister(prometheus.Collector) bool { return false }
