package hotkey_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"basilcross.example/basilcross/hotkey"
	"gotest.tools/v3/assert"
)

func ExampleSketch() {
	s := hotkey.Sketch{Size: 2}
	for _, key := range []string{"linzer", "sacher", "linzer", "esterhazy", "linzer"} {
		s.Add(key, 1)
	}
	fmt.Println(s.Top(1)[0].Key)
	// Output: linzer
}

// cluster simulates twelve gateways whose sketches are merged every five seconds,
// as zone leaders and the planner do.
type cluster struct {
	random   *rand.Rand
	gateways [12]hotkey.Sketch
	merged   hotkey.Sketch
	offset   int
}

const (
	hotKeyCount    = 51
	keysPerGateway = 64
)

func (f *cluster) runSeconds(n int) {
	ranks := rand.NewZipf(f.random, 1.05, 10, 99_999)
	for second := range n {
		for range 4000 {
			key := strconv.Itoa((int(ranks.Uint64()) + f.offset) % 100_000)
			f.gateways[f.random.IntN(len(f.gateways))].Add(key, 1)
		}
		if second%5 != 4 {
			continue
		}
		f.merged.Decay(0.7)
		for i := range f.gateways {
			f.merged.Merge(f.gateways[i].Top(keysPerGateway))
			f.gateways[i] = hotkey.Sketch{}
		}
	}
}

// recall is the share of the true hottest keys among those found.
func (f *cluster) recall() float64 {
	found := 0
	for _, c := range f.merged.Top(hotKeyCount + 4) {
		rank, _ := strconv.Atoi(c.Key)
		if rank -= f.offset; rank >= 0 && rank < hotKeyCount {
			found++
		}
	}
	return float64(found) / hotKeyCount
}

// Guards against a merged sketch that keeps former hot keys: a minute after all
// hot keys change, it must have 90% of the new ones.
func TestHottestKeysAreFoundAfterTheyChange(t *testing.T) {
	f := cluster{random: rand.New(rand.NewPCG(1, 2))}
	f.runSeconds(60)
	before := f.recall()
	f.offset = 50_000
	f.runSeconds(60)
	after := f.recall()
	t.Logf("recall %.3f, after the shift %.3f", before, after)
	assert.Assert(t, before >= 0.9)
	assert.Assert(t, after >= 0.9)
}

func BenchmarkAdd(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	ranks := rand.NewZipf(random, 1.05, 10, 99_999)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = strconv.Itoa(int(ranks.Uint64()))
	}
	var s hotkey.Sketch
	for i := 0; b.Loop(); i++ {
		s.Add(keys[i&(1<<16-1)], 1)
	}
}
