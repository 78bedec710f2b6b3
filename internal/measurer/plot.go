package measurer

import (
	"encoding/json"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// LoadFactors are the offered loads of a load curve, as multiples of the deployment's
// own request rate.
var LoadFactors = []float64{0.3, 0.6, 0.8, 1, 1.2, 1.4}

// WriteJSON writes rows to a file as a JSON array.
func WriteJSON(path string, rows []Row) error {
	body, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encode rows: %w", err)
	}
	if err := os.WriteFile(path, append(body, '\n'), 0o644); err != nil {
		return fmt.Errorf("write rows: %w", err)
	}
	return nil
}

// PlotLoadCurve draws the 99th percentile of the time to the first token against the
// offered load, with a line for each policy, and saves it to a file.
func PlotLoadCurve(path, title string, rows []Row) error {
	p := plot.New()
	p.Title.Text = title + ": time to first token, 99%"
	p.X.Label.Text = "offered load (requests/s)"
	p.Y.Label.Text = "seconds"
	p.Legend.Top = true
	p.Legend.Left = true
	lines := map[string]plotter.XYs{}
	var order []string
	for _, r := range rows {
		if _, ok := lines[r.Policy]; !ok {
			order = append(order, r.Policy)
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.RequestsPerSecond, Y: r.FirstToken99.Seconds()})
	}
	var arguments []any
	for _, name := range order {
		arguments = append(arguments, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, arguments...); err != nil {
		return fmt.Errorf("draw lines: %w", err)
	}
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// MeasureAblations measures the chooser's policy with one part of it changed or
// switched off at a time, in both deployments.
func MeasureAblations(plan Plan) []Row {
	var experiments []experiment
	for _, d := range []Deployment{LoneStar(), Rogeri()} {
		for _, p := range ablations() {
			experiments = append(experiments, experiment{d, Fault{Name: "none, one part changed"}, p})
		}
	}
	return measureAll(plan, experiments)
}
