package measurer

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"
)

// Plan is the amount of simulation for each row.
type Plan struct {
	// Seeds is the number of runs of a row, each with another seed.
	Seeds int
	// RunDuration is the virtual time of one run.
	RunDuration time.Duration
}

// DefaultPlan is small enough to measure the tables in under a minute.
var DefaultPlan = Plan{Seeds: 15, RunDuration: 4 * time.Minute}

// Faults returns the faults under which every policy is measured.
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

// experiment is the combination that is measured for one row.
type experiment struct {
	deployment Deployment
	fault      Fault
	policy     Policy
}

// measureAll runs the experiments on all processors, each on the same seeds, and
// returns a row for each, in the same order.
func measureAll(plan Plan, experiments []experiment) []Row {
	rows := make([]Row, len(experiments))
	slots := make(chan struct{}, runtime.NumCPU())
	var pending sync.WaitGroup
	for i, e := range experiments {
		pending.Add(1)
		slots <- struct{}{}
		go func() {
			defer pending.Done()
			defer func() { <-slots }()
			total := newTally()
			for seed := range plan.Seeds {
				total.merge(runSeed(e.deployment, e.fault, e.policy, uint64(seed+1), plan.RunDuration))
			}
			rows[i] = total.toRow(e.deployment, e.fault, e.policy)
		}()
	}
	pending.Wait()
	return rows
}

// Policies returns the policies of the fault table and the load curve.
func Policies() []Policy { return append(Baselines(), ChooserPolicy(), Oracle()) }

// MeasureFaults measures every policy under every fault for both deployments.
func MeasureFaults(plan Plan) []Row {
	var experiments []experiment
	for _, d := range []Deployment{LoneStar(), Rogeri()} {
		for _, f := range Faults() {
			for _, p := range Policies() {
				experiments = append(experiments, experiment{d, f, p})
			}
		}
	}
	return measureAll(plan, experiments)
}

// MeasureLoadCurve measures every policy without a fault at several offered loads.
func MeasureLoadCurve(plan Plan, d Deployment, factors []float64) []Row {
	var experiments []experiment
	for _, factor := range factors {
		scaled := d
		scaled.RequestsPerSecond *= factor
		for _, p := range Policies() {
			experiments = append(experiments, experiment{scaled, Fault{Name: "none"}, p})
		}
	}
	return measureAll(plan, experiments)
}

// PrintTables writes rows as Markdown tables, one for each deployment and fault.
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
			formatSeconds(r.FirstToken50), formatSeconds(r.FirstToken95), formatSeconds(r.FirstToken99), r.RecomputedShare, r.LinkBytesPerRequest/1024, 100*r.RefusedShare, r.LeastServedShare, r.BestServedShare)
	}
}

// formatSeconds returns a duration in seconds with two decimals.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
