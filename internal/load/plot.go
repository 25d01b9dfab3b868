package load

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of the image and padding between its two plots.
const (
	plotWidth   = 24 * vg.Centimeter
	plotHeight  = 18 * vg.Centimeter
	plotPadding = 5 * vg.Millimeter
)

// WritePlot writes a PNG with two plots: the arrivals and the answers on time in each second, and below them the
// percentiles of the wait of short generations and of the time between tokens.
func WritePlot(w io.Writer, reports ...*Report) error {
	timeline, err := timelinePlot(reports)
	if err != nil {
		return err
	}
	percentiles, err := percentilePlot(reports)
	if err != nil {
		return err
	}
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadX: plotPadding, PadY: plotPadding}
	plots := [][]*plot.Plot{{timeline}, {percentiles}}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

func timelinePlot(reports []*Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "requests by second of arrival"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := []any{"offered", series(reports[0].Timeline, func(s SecondReport) int { return s.Offered })}
	for _, report := range reports {
		lines = append(lines, report.Target+" on time", series(report.Timeline, func(s SecondReport) int { return s.OnTime }))
	}
	return p, errors.Wrap(plotutil.AddLines(p, lines...), "plot timeline")
}

func series(timeline []SecondReport, value func(SecondReport) int) plotter.XYs {
	points := make(plotter.XYs, len(timeline))
	for i, second := range timeline {
		points[i].X, points[i].Y = float64(i), float64(value(second))
	}
	return points
}

func percentilePlot(reports []*Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "latency at p50, p95 and p99"
	p.Y.Label.Text = "ms, logarithmic"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.NominalX("p50", "p95", "p99")
	var lines []any
	for _, report := range reports {
		lines = append(lines,
			report.Target+" short wait", percentiles(report.Kind(KindShort).Wait),
			report.Target+" between tokens", percentiles(report.TokenGap),
		)
	}
	return p, errors.Wrap(plotutil.AddLinePoints(p, lines...), "plot percentiles")
}

// percentiles returns the percentiles as points, raised above zero for the logarithmic axis.
func percentiles(l Latency) plotter.XYs {
	const smallest = 0.001
	points := make(plotter.XYs, 3)
	for i, value := range []float64{l.P50Millis, l.P95Millis, l.P99Millis} {
		points[i].X, points[i].Y = float64(i), max(value, smallest)
	}
	return points
}
