package measurer

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Plan tells what to measure.
type Plan struct {
	// Seeds is the number of seeds of each row.
	Seeds int
	// Length is the virtual time of one run.
	Length time.Duration
}

// DefaultPlan gives the tables in under a minute.
var DefaultPlan = Plan{Seeds: 15, Length: 4 * time.Minute}

// Faults are the disturbances under which every policy is measured.
func Faults() []Fault {
	return []Fault{
		{Name: "none"},
		{Name: "engine crash every 20 s", CrashEvery: 20 * time.Second},
		{Name: "event gaps 10%", Blind: 0.1},
		{Name: "event gaps 50%", Blind: 0.5},
		{Name: "load lag 1 s", LoadLag: time.Second},
		{Name: "load lag 5 s", LoadLag: 5 * time.Second},
		{Name: "entries restart every 30 s", HerdEvery: 30 * time.Second},
		{Name: "hot set shifts every 10 s", ShiftEvery: 10 * time.Second},
		{Name: "regions cut for 30 s", CutAt: time.Minute, CutFor: 30 * time.Second},
	}
}

// cell is one row to be measured.
type cell struct {
	deployment Deployment
	fault      Fault
	policy     Policy
}

// measure runs all cells on all processors, each on the same seeds.
func measure(plan Plan, cells []cell) []Row {
	rows := make([]Row, len(cells))
	slots := make(chan struct{}, runtime.NumCPU())
	var group sync.WaitGroup
	for i, c := range cells {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			total := newTally()
			for seed := range plan.Seeds {
				total.merge(run(c.deployment, c.fault, c.policy, uint64(seed+1), plan.Length))
			}
			rows[i] = total.row(c.deployment, c.fault, c.policy)
		}()
	}
	group.Wait()
	return rows
}

// Policies are all policies of the table.
func Policies() []Policy { return append(Baselines(), Ours(), Oracle()) }

// Table measures every policy under every fault for both deployments.
func Table(plan Plan) []Row {
	var cells []cell
	for _, d := range []Deployment{LoneStar(), Rogeri()} {
		for _, f := range Faults() {
			for _, p := range Policies() {
				cells = append(cells, cell{d, f, p})
			}
		}
	}
	return measure(plan, cells)
}

// Curve measures every policy without a fault at several offered loads.
func Curve(plan Plan, d Deployment, factors []float64) []Row {
	var cells []cell
	for _, factor := range factors {
		scaled := d
		scaled.Rate *= factor
		for _, p := range Policies() {
			cells = append(cells, cell{scaled, Fault{Name: "none"}, p})
		}
	}
	return measure(plan, cells)
}

// Print writes rows as a Markdown table for each deployment and fault.
func Print(w io.Writer, rows []Row) {
	last := ""
	for _, r := range rows {
		if title := r.Deployment + ", " + r.Fault; title != last {
			last = title
			_, _ = fmt.Fprintf(w, "\n### %s\n\n%.1f requests a second; infinite shared cache: hit rate %.3f\n\n", title, r.Rate, r.BoundHitRate)
			_, _ = fmt.Fprintln(w, "| policy | hit rate | first token 50% | 95% | 99% | wasted | link KB/request | refused | least / best served |")
			_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		}
		_, _ = fmt.Fprintf(w, "| %s | %.3f | %s | %s | %s | %.3f | %.1f | %.2f%% | %.3f / %.3f |\n", r.Policy, r.HitRate,
			short(r.First50), short(r.First95), short(r.First99), r.Wasted, r.LinkBytesPerRequest/1024, 100*r.RefusedShare, r.LeastServed, r.BestServed)
	}
}

func short(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
