package bencher

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter

	tradeoffHeader = "| yieldFactor | yieldFrom | reservedShare | idle share of batch | rush first token p95 | p99 of alone |\n" +
		"|---|---|---|---|---|---|"
)

// tradeoffPoint is a policy, weighted between online tail latency and batch throughput, with its results.
//
// share is batch's share of the capacity that online requests leave in scenario idle; rushP95 and p99OverAlone are the
// first-token times in scenario rush, in milliseconds and relative to a run without batch.
type tradeoffPoint struct {
	factor, from, reserve float64
	share                 float64
	rushP95, p99OverAlone float64
}

// tradeoffPoints returns policies, ordered from tail latency first to throughput first.
func tradeoffPoints() []tradeoffPoint {
	return []tradeoffPoint{
		{factor: 4, from: 0, reserve: 0.2},
		{factor: 3, from: 0, reserve: 0.05},
		{factor: 2, from: 0, reserve: 0.05},
		{factor: 3, from: 0.25, reserve: 0.05},
		{factor: 4, from: 0.45, reserve: 0.02},
		{factor: 8, from: 0.6, reserve: 0.02},
		{factor: 1, from: 0, reserve: 0.02},
		{factor: 1, from: 0, reserve: 0},
	}
}

func (p *tradeoffPoint) policy() allocator.Policy {
	policy := basePolicy()
	policy.YieldFactor, policy.YieldFrom, policy.ReservedShare, policy.LatencyHeadroom = p.factor, p.from, p.reserve, 1
	return policy
}

func (p *tradeoffPoint) measure(peak float64, alone *bench) {
	rush := rushBench(ownPolicy, p.policy(), peak, true)
	idle := idleBench(ownPolicy, p.policy(), peak)
	p.rushP95 = quantile(rush.online.first, 95)
	p.p99OverAlone = quantile(rush.online.first, 99) / quantile(alone.online.first, 99)
	p.share = float64(idle.batchTokens) / float64(batchAloneTokens()-idle.onlineTokens)
}

// writeTradeoff measures the policies of tradeoffPoints, prints them as a table and plots them into file.
func writeTradeoff(out io.Writer, file string) error {
	peak := highestAloneRate()
	alone := rushBench(ownPolicy, tailFirst(), peak, false)
	points := plotter.XYs{}
	_, _ = fmt.Fprintln(out, tradeoffHeader)
	for _, p := range tradeoffPoints() {
		p.measure(peak, alone)
		points = append(points, plotter.XY{X: p.share, Y: p.rushP95})
		_, _ = fmt.Fprintf(out, "| %g | %g | %g | %.3f | %.0f ms | %.2f |\n",
			p.factor, p.from, p.reserve, p.share, p.rushP95, p.p99OverAlone)
	}
	return drawTradeoff(points, file)
}

// drawTradeoff plots first-token time over batch share into file.
func drawTradeoff(points plotter.XYs, file string) error {
	p := plot.New()
	p.Title.Text = "Tail latency in a rush against batch in idle seconds"
	p.X.Label.Text = "batch share of what online leaves (idle scenario)"
	p.Y.Label.Text = "first token p95 in ms (rush scenario)"
	target := plotter.NewFunction(func(float64) float64 { return milliseconds(firstTokenTarget) })
	target.Dashes = plotutil.Dashes(1)
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "plot trade-off")
	}
	scatter.Radius = vg.Points(4)
	p.Add(plotter.NewGrid(), target, scatter)
	p.Legend.Add("target 610 ms", target)
	p.Legend.Top, p.Legend.Left = true, true
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot trade-off")
}
