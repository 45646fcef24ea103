package bencher

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// maxPlottedMs caps the plotted latencies, so that one window without answers doesn't flatten the others.
const maxPlottedMs = 2000

// dayReport holds the fields read from the report of a recorded day, as `fleetbench run --report` writes it.
type dayReport struct {
	// Worth is the day's score: what its answers earned as a share of what its requests could have earned.
	Worth   float64     `json:"G"`
	Windows []dayWindow `json:"windows"`
}

// dayWindow is a time window of a day; its name is the second at which it begins.
type dayWindow struct {
	Name string `json:"name"`
	// Number is the number of requests.
	Number int `json:"n"`
	// Worth is the score of the window, like that of the day.
	Worth float64 `json:"worth"`
	// P50 and P99 are percentiles of the time to an answer, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

func readDay(file string) (dayReport, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return dayReport{}, errors.Wrap(err, "read the report of a day")
	}
	day := dayReport{}
	if err := json.Unmarshal(raw, &day); err != nil {
		return dayReport{}, errors.Wrapf(err, "%s: not the report of a day, write one with --report", file)
	}
	if len(day.Windows) == 0 {
		return dayReport{}, errors.Errorf("%s: field windows is empty: write the report of a whole day with --report", file)
	}
	return day, nil
}

// points returns the figure of each window over the second at which the window begins.
func (d dayReport) points(figure func(dayWindow) float64) (plotter.XYs, error) {
	var points plotter.XYs
	for _, w := range d.Windows {
		second, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "window %q: name is not a second", w.Name)
		}
		points = append(points, plotter.XY{X: second, Y: figure(w)})
	}
	return points, nil
}

// writeDays prints the windows of recorded days and, unless file is empty, plots worth and latency over time into file.
func writeDays(out io.Writer, reports []string, file string) error {
	var days []dayReport
	for _, name := range reports {
		day, err := readDay(name)
		if err != nil {
			return err
		}
		days = append(days, day)
	}
	for i, day := range days {
		_, _ = fmt.Fprintf(out, "%s: worth %.3f\n", reports[i], day.Worth)
		for _, w := range day.Windows {
			_, _ = fmt.Fprintf(out, "  second %s: worth %.3f, p50 %.0f ms, p99 %.0f ms, %d requests\n",
				w.Name, w.Worth, w.P50, w.P99, w.Number)
		}
	}
	if file == "" {
		return nil
	}
	worth, err := plotDays("worth", "share of what could be earned", reports, days,
		func(w dayWindow) float64 { return w.Worth })
	if err != nil {
		return err
	}
	latency, err := plotDays("time to an answer", "p50 in ms", reports, days,
		func(w dayWindow) float64 { return min(w.P50, maxPlottedMs) })
	if err != nil {
		return err
	}
	return errors.Wrap(saveAbove(worth, latency, file), "plot days")
}

// plotDays plots a figure of each day's windows, one line a day.
func plotDays(
	title, unit string, names []string, days []dayReport, figure func(dayWindow) float64,
) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second of the day", unit
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, day := range days {
		points, err := day.points(figure)
		if err != nil {
			return nil, err
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "plot days")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (%.3f)", names[i], day.Worth), line)
	}
	return p, nil
}

// saveAbove saves two plots, one above the other, as a PNG file.
func saveAbove(upper, lower *plot.Plot, file string) error {
	canvas := vgimg.New(plotWidth, 2*plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Points(8)}
	for row, p := range []*plot.Plot{upper, lower} {
		p.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
