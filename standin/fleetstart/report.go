package fleetstart

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

func (r *run) summary() Result {
	result := r.result
	result.RegionMB = r.region.sum / 1e6
	var bytes []float64
	var work []time.Duration
	for _, i := range r.nodes {
		bytes = append(bytes, i.link.sum/1e6)
		work = append(work, time.Duration(i.cpu.sum))
		result.Listed = max(result.Listed, i.listed)
		result.Targets = max(result.Targets, i.targets)
		result.ConfigDelay = max(result.ConfigDelay, i.config-r.ConfigAt)
	}
	slices.Sort(bytes)
	slices.Sort(work)
	result.BusiestMB, result.MiddleMB = bytes[len(bytes)-1], bytes[len(bytes)/2]
	result.BusiestCPU, result.MiddleCPU = work[len(work)-1], work[len(work)/2]
	return result
}

// Row is a simulated fleet with its result.
type Row struct {
	Fleet Fleet
	Name  string
	Result
}

// WriteText writes a table.
func WriteText(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "instances\ttargets\tway\tlisted\ttargets known\tconfig delay\tregion MB\tstore MB\tcalls\tbusiest MB\tmiddle MB\tbusiest cpu\tmiddle cpu\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%s\t%v\t%v\t%v\t%.1f\t%.1f\t%d\t%.1f\t%.2f\t%v\t%v\t\n", r.Fleet.Instances, r.Fleet.Targets, r.Name,
			round(r.Listed), round(r.Targets), round(r.ConfigDelay), r.RegionMB, r.StoreMB, r.StoreCalls, r.BusiestMB, r.MiddleMB, round(r.BusiestCPU), round(r.MiddleCPU))
	}
	return t.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
