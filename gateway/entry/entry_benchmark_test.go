package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"basilcross.example/basilcross/shard"
)

// naiveProxy forwards through an ordinary client, as a first attempt would. It is
// the baseline.
func naiveProxy(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), newByteReader(content))
		req.Header = r.Header.Clone()
		res, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer res.Body.Close()
		for name, values := range res.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(res.StatusCode)
		_, _ = io.Copy(w, res.Body)
	})
}

type byteReader struct {
	content []byte
}

func newByteReader(content []byte) io.Reader { return &byteReader{content} }

func (r *byteReader) Read(p []byte) (int, error) {
	if len(r.content) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.content)
	r.content = r.content[n:]
	return n, nil
}

// BenchmarkForward compares a direct call, a naive forwarder and the gateway,
// and reports the median and the 99th percentile of each.
func BenchmarkForward(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(echo))
	defer target.Close()
	middle := httptest.NewServer(naiveProxy(target.URL))
	defer middle.Close()
	bench := newFixture(b)
	bench.configure()
	bench.assign(echo, true)
	for _, way := range []struct{ name, url string }{
		{"direct", target.URL}, {"naive", middle.URL}, {"gateway", bench.url},
	} {
		b.Run(way.name, func(b *testing.B) {
			took := make([]time.Duration, 0, b.N)
			for b.Loop() {
				began := time.Now()
				res, err := http.Get(way.url + "/menus/lists/graz-7")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkFind compares the look-up at 16,384 shards with a map by shard and
// with a linear search.
func BenchmarkFind(b *testing.B) {
	shards := shard.Split(16_384)
	m, err := shard.New(shards)
	if err != nil {
		b.Fatal(err)
	}
	byTop := map[uint64]int{}
	for i, s := range shards {
		byTop[s.First>>50] = i
	}
	hash := func(i int) uint64 { return uint64(i) * 0x9e3779b97f4a7c15 }
	b.Run("find", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			_, _ = m.Find(hash(i))
		}
	})
	b.Run("map", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			_ = shards[byTop[hash(i)>>50]]
		}
	})
	b.Run("linear", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			h := hash(i)
			_ = slices.IndexFunc(shards, func(s shard.Shard) bool { return s.Contains(h) })
		}
	})
}
