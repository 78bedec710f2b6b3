// The measure command compares the routing policy with baseline policies in a simulation
// in virtual time. The same seeds give the same tables in each run.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cyclamenward/cyclamenward/internal/measurer"
)

func main() {
	if err := run("docs/measure"); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the tables, and writes them as JSON with a plot for each deployment into
// the directory.
func run(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	table := measurer.MeasureFaults(measurer.DefaultPlan)
	ablation := measurer.MeasureAblations(measurer.DefaultPlan)
	measurer.PrintTables(os.Stdout, append(table, ablation...))
	if err := measurer.WriteJSON(filepath.Join(directory, "table.json"), append(table, ablation...)); err != nil {
		return err
	}
	for name, deployment := range map[string]measurer.Deployment{"loneStar": measurer.LoneStar(), "rogeri": measurer.Rogeri()} {
		curve := measurer.MeasureLoadCurve(measurer.DefaultPlan, deployment, measurer.LoadFactors)
		if err := measurer.PlotLoadCurve(filepath.Join(directory, name+".svg"), deployment.Name, curve); err != nil {
			return err
		}
	}
	return nil
}
