package roster_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
)

// Measures Apply of one change, a target that starts or stops draining.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Unix(1000, 0)
			list := make([]*roster.Target, 0, n)
			for k := range n {
				t := target(fmt.Sprintf("bakery-svc-%04d", k), 1, 1)
				t.Address = fmt.Sprintf("10.1.%d.%d:8080", k/250, k%250)
				t.Service = fmt.Sprintf("s%d", k%2)
				list = append(list, t)
			}
			var r roster.Roster
			r.Replace(now, list, 1)
			seq := int64(1)
			for b.Loop() {
				seq++
				next := *list[0]
				next.Seq = seq
				next.Draining = seq%2 == 0
				r.Apply(now, []roster.Change{{ID: next.ID, Target: &next}}, uint64(seq))
			}
		})
	}
}
