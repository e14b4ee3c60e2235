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

// naiveProxy forwards each request with a plain http.Client, as a baseline.
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

// BenchmarkForward compares a direct call, a naive proxy and the gateway, and
// reports the median and the 99th percentile of each.
func BenchmarkForward(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(echo))
	defer target.Close()
	proxy := httptest.NewServer(naiveProxy(target.URL))
	defer proxy.Close()
	gateway := newFixture(b)
	gateway.configure()
	gateway.assign(echo, true)
	for _, route := range []struct{ name, url string }{
		{"direct", target.URL}, {"naive", proxy.URL}, {"gateway", gateway.url},
	} {
		b.Run(route.name, func(b *testing.B) {
			durations := make([]time.Duration, 0, b.N)
			for b.Loop() {
				start := time.Now()
				res, err := http.Get(route.url + "/menus/lists/graz-7")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				durations = append(durations, time.Since(start))
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkFind compares shard.Map.Find at 16,384 shards with a Go map indexed by
// shard and with a linear search.
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
