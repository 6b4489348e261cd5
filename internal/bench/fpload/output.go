package fpload

import (
	"encoding/csv"
	"encoding/json"
	"image/color"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Summary is the JSON form of a result. Times are in milliseconds.
type Summary struct {
	Name          string                 `json:"name"`
	Seed          uint64                 `json:"seed"`
	DurationMs    float64                `json:"durationMs"`
	Counts        map[string]int         `json:"counts"`
	Dropped       int                    `json:"dropped"`
	Goodput       float64                `json:"goodput"`
	LatencyMs     map[string]Percentiles `json:"latencyMs"`
	Kinds         map[string]int         `json:"kinds"`
	Upstreams     map[string]int         `json:"upstreams"`
	Imbalance     Imbalance              `json:"imbalance"`
	UnavailableMs float64                `json:"unavailableMs"`
	WorstOutageMs float64                `json:"worstOutageMs"`
}

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// millis returns a duration in milliseconds.
func millis(length time.Duration) float64 {
	return float64(length) / float64(time.Millisecond)
}

// Summary returns the JSON form of the result. The imbalance is over the upstreams that answered.
func (res *Result) Summary() Summary {
	una := res.Unavailability()
	sum := Summary{
		Name:          res.cfg.Name,
		Seed:          res.cfg.Seed,
		DurationMs:    millis(res.cfg.Duration),
		Counts:        map[string]int{},
		Dropped:       res.dropped,
		Goodput:       res.Goodput(0, res.cfg.Duration),
		LatencyMs:     map[string]Percentiles{},
		Kinds:         res.kinds,
		Upstreams:     res.upstreams,
		Imbalance:     res.Imbalance(slices.Sorted(maps.Keys(res.upstreams))),
		UnavailableMs: millis(una.Total),
		WorstOutageMs: millis(una.Worst),
	}
	for sta := range statusCount {
		sum.Counts[sta.String()] = res.Count(sta)
		sum.LatencyMs[sta.String()] = Percentiles{
			P50:  millis(res.Latency(sta, 50)),
			P90:  millis(res.Latency(sta, 90)),
			P99:  millis(res.Latency(sta, 99)),
			P999: millis(res.Latency(sta, 99.9)),
			Max:  millis(res.Latency(sta, 100)),
		}
	}
	return sum
}

// WriteJSON writes the summary as indented JSON.
func (res *Result) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(res.Summary())
}

// WriteCSV writes the time series: a header and one line for each interval, with its begin in milliseconds since the start.
func (res *Result) WriteCSV(out io.Writer) error {
	enc := csv.NewWriter(out)
	enc.Write([]string{"ms", "answered", "refused", "failed", "dropped", "p99Ms"})
	for i, ivl := range res.intervals {
		enc.Write([]string{
			strconv.FormatFloat(millis(time.Duration(i)*res.cfg.Interval), 'f', 0, 64),
			strconv.Itoa(ivl.counts[Answered]),
			strconv.Itoa(ivl.counts[Refused]),
			strconv.Itoa(ivl.counts[Failed]),
			strconv.Itoa(ivl.dropped),
			strconv.FormatFloat(millis(ivl.P99()), 'f', 3, 64),
		})
	}
	enc.Flush()
	return enc.Error()
}

const (
	// plotWidth and plotHeight are the dimensions of the plot.
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// lineColors are the colours of the lines of a plot. They can be told apart with most forms of colour blindness.
var lineColors = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
}

// WriteSVG writes a plot of the answers per second over time, with one line for each result.
func WriteSVG(out io.Writer, title string, results ...*Result) error {
	plt := plot.New()
	plt.Title.Text = title
	plt.X.Label.Text = "time of arrival (s)"
	plt.Y.Label.Text = "answers per second"
	plt.Legend.Top = true
	for i, res := range results {
		lin, err := plotter.NewLine(res.series())
		if err != nil {
			return err
		}
		lin.Color = lineColors[i%len(lineColors)]
		plt.Add(lin)
		plt.Legend.Add(res.cfg.Name, lin)
	}
	wri, err := plt.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = wri.WriteTo(out)
	return err
}

// series returns the answers per second over time.
func (res *Result) series() plotter.XYs {
	points := make(plotter.XYs, 0, len(res.intervals))
	for i, ivl := range res.intervals {
		points = append(points, plotter.XY{
			X: (time.Duration(i) * res.cfg.Interval).Seconds(),
			Y: float64(ivl.counts[Answered]) / res.cfg.Interval.Seconds(),
		})
	}
	return points
}
