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
	// RunDuration is the virtual time of one run.
	RunDuration time.Duration
}

// DefaultPlan gives the tables in under a minute.
var DefaultPlan = Plan{Seeds: 15, RunDuration: 4 * time.Minute}

// Faults are the disturbances under which every policy is measured.
func Faults() []Fault {
	return []Fault{
		{Name: "none"},
		{Name: "engine crash every 20 s", CrashInterval: 20 * time.Second},
		{Name: "event gaps 10%", IndexUnknownShare: 0.1},
		{Name: "event gaps 50%", IndexUnknownShare: 0.5},
		{Name: "load lag 1 s", LoadLag: time.Second},
		{Name: "load lag 5 s", LoadLag: 5 * time.Second},
		{Name: "entries restart every 30 s", EntryRestartInterval: 30 * time.Second},
		{Name: "hot set shifts every 10 s", HotSetShiftInterval: 10 * time.Second},
		{Name: "regions cut for 30 s", PartitionStart: time.Minute, PartitionDuration: 30 * time.Second},
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
				total.merge(run(c.deployment, c.fault, c.policy, uint64(seed+1), plan.RunDuration))
			}
			rows[i] = total.row(c.deployment, c.fault, c.policy)
		}()
	}
	group.Wait()
	return rows
}

// Policies are all policies of the table.
func Policies() []Policy { return append(Baselines(), ProductPolicy(), Oracle()) }

// MeasureFaults measures every policy under every fault for both deployments.
func MeasureFaults(plan Plan) []Row {
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

// MeasureLoadCurve measures every policy without a fault at several offered loads.
func MeasureLoadCurve(plan Plan, d Deployment, factors []float64) []Row {
	var cells []cell
	for _, factor := range factors {
		scaled := d
		scaled.RequestsPerSecond *= factor
		for _, p := range Policies() {
			cells = append(cells, cell{scaled, Fault{Name: "none"}, p})
		}
	}
	return measure(plan, cells)
}

// PrintTables writes rows as a Markdown table for each deployment and fault.
func PrintTables(w io.Writer, rows []Row) {
	last := ""
	for _, r := range rows {
		if title := r.Deployment + ", " + r.Fault; title != last {
			last = title
			_, _ = fmt.Fprintf(w, "\n### %s\n\n%.1f requests a second; infinite shared cache: hit rate %.3f\n\n", title, r.RequestsPerSecond, r.BoundHitRate)
			_, _ = fmt.Fprintln(w, "| policy | hit rate | first token 50% | 95% | 99% | wasted | link KB/request | refused | least / best served |")
			_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		}
		_, _ = fmt.Fprintf(w, "| %s | %.3f | %s | %s | %s | %.3f | %.1f | %.2f%% | %.3f / %.3f |\n", r.Policy, r.HitRate,
			short(r.FirstToken50), short(r.FirstToken95), short(r.FirstToken99), r.RecomputedShare, r.LinkBytesPerRequest/1024, 100*r.RefusedShare, r.LeastServedShare, r.BestServedShare)
	}
}

func short(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
