package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"basilcross.example/standin/deployment"
)

const (
	// quietBefore lets a fleet settle, measureFor is the length of a reading.
	quietBefore = 6 * time.Second
	measureFor  = 10 * time.Second
)

// cost is what one instance of a role spends.
type cost struct {
	cpu, rssMB, bytes, pieces float64
}

func (c *cost) add(o cost) {
	c.cpu += o.cpu
	c.rssMB += o.rssMB
	c.bytes += o.bytes
	c.pieces += o.pieces
}

func (c cost) over(n int) cost {
	d := float64(max(1, n))
	return cost{c.cpu / d, c.rssMB / d, c.bytes / d, c.pieces / d}
}

// sample is one fleet's reading.
type sample struct {
	gateways, shards       int
	member, leader, plan   cost
	readsPerSecond, writes float64
}

// Slopes measures fleets of growing size without load, prints what each role
// spends, and fits straight lines.
func Slopes(ctx context.Context, gateways, shards []int, out io.Writer) error {
	folder, err := os.MkdirTemp("", "basilcross-slopes-")
	if err != nil {
		return err
	}
	binary, err := buildGateway(folder)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "gateways  shards  role     cpu/core   MB  control-B/s  pieces/s   reads/s writes/s")
	var bySize, byShards []sample
	for _, n := range gateways {
		s, err := measure(ctx, binary, folder, n, shards[0], out)
		if err != nil {
			return err
		}
		bySize = append(bySize, s)
	}
	byShards = append(byShards, bySize[0])
	for _, n := range shards[1:] {
		s, err := measure(ctx, binary, folder, gateways[0], n, out)
		if err != nil {
			return err
		}
		byShards = append(byShards, s)
	}
	fit(out, "per gateway of a zone", bySize, func(s sample) float64 { return float64(s.gateways) / 4 })
	fit(out, "per 1000 shards", byShards, func(s sample) float64 { return float64(s.shards) / 1000 })
	return nil
}

func measure(ctx context.Context, binary, folder string, gateways, shards int, out io.Writer) (sample, error) {
	d, err := deployment.Find("tortenprobe")
	if err != nil {
		return sample{}, err
	}
	d.Gateways = gateways
	for i := range d.Services {
		if d.Services[i].Divided {
			d.Services[i].Shards = shards
		}
	}
	f := newFleet(d, binary, folder)
	defer f.close()
	if err := f.start(ctx); err != nil {
		return sample{}, err
	}
	time.Sleep(quietBefore)
	before := f.usage()
	time.Sleep(measureFor)
	s := f.sort(f.usage().since(before))
	s.gateways, s.shards = gateways, shards
	for role, c := range map[string]cost{"member": s.member, "leader": s.leader, "planner": s.plan} {
		fmt.Fprintf(out, "%8d  %6d  %-8s %8.4f %5.1f %11.0f %9.1f %9.1f %8.1f\n",
			gateways, shards, role, c.cpu, c.rssMB, c.bytes, c.pieces, s.readsPerSecond, s.writes)
	}
	return s, nil
}

// sort puts each gateway's usage down to its role.
func (f *fleet) sort(u usage) sample {
	var s sample
	var members, leaders int
	seconds := measureFor.Seconds()
	for _, g := range f.gateways {
		used := u.gateways[g.Name]
		c := cost{used.cpu.Seconds() / seconds, float64(used.rss) / (1 << 20), float64(used.bytes) / seconds, float64(used.calls) / seconds}
		var st status
		if g.get("/v1/status", &st) != nil {
			continue
		}
		switch {
		case st.Planning:
			s.plan = c
		case st.Leader.Leading:
			s.leader.add(c)
			leaders++
		default:
			s.member.add(c)
			members++
		}
	}
	s.member, s.leader = s.member.over(members), s.leader.over(leaders)
	s.readsPerSecond, s.writes = float64(u.reads)/seconds, float64(u.writes)/seconds
	return s
}

// fit prints the straight line through each role's figures (least squares).
func fit(out io.Writer, unit string, samples []sample, x func(sample) float64) {
	for role, of := range map[string]func(sample) cost{
		"member":  func(s sample) cost { return s.member },
		"leader":  func(s sample) cost { return s.leader },
		"planner": func(s sample) cost { return s.plan },
	} {
		line := func(y func(cost) float64) string {
			base, slope := leastSquares(samples, x, func(s sample) float64 { return y(of(s)) })
			return fmt.Sprintf("%.4g + %.4g x", base, slope)
		}
		fmt.Fprintf(out, "fit %s, x %s: cpu %s; MB %s; control B/s %s\n", role, unit,
			line(func(c cost) float64 { return c.cpu }), line(func(c cost) float64 { return c.rssMB }), line(func(c cost) float64 { return c.bytes }))
	}
}

func leastSquares(samples []sample, x, y func(sample) float64) (base, slope float64) {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		sx += x(s)
		sy += y(s)
		sxx += x(s) * x(s)
		sxy += x(s) * y(s)
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}
