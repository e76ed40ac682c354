package report

import (
	"fmt"
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// HTML writes the report as an HTML page of charts.
func (r *Report) HTML(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "toucanroute load report"
	page.AddCharts(r.attainmentChart(), r.latencyChart(), r.workspaceChart())
	return page.Render(w)
}

// attainmentChart shows the attainment and the target attainment of each class.
func (r *Report) attainmentChart() *charts.Bar {
	var names []string
	var got, want []opts.BarData
	for _, c := range r.Classes {
		names = append(names, fmt.Sprintf("%s (tier %d)", c.Class, c.Tier))
		got = append(got, opts.BarData{Value: c.Attainment()})
		want = append(want, opts.BarData{Value: c.Target})
	}
	bar := newBar("Attainment by class", "share of requests that met their targets")
	bar.SetXAxis(names).AddSeries("attained", got).AddSeries("target", want)
	return bar
}

// latencyChart shows percentiles of the time to first token of each class.
func (r *Report) latencyChart() *charts.Bar {
	var names []string
	var p50, p95 []opts.BarData
	for _, c := range r.Classes {
		names = append(names, c.Class)
		p50 = append(p50, opts.BarData{Value: c.FirstTokenP50})
		p95 = append(p95, opts.BarData{Value: c.FirstTokenP95})
	}
	bar := newBar("Time to first token", "milliseconds, whole answers only")
	bar.SetXAxis(names).AddSeries("p50", p50).AddSeries("p95", p95)
	return bar
}

// workspaceChart shows the attainment of each workspace relative to the attainment of its tier.
func (r *Report) workspaceChart() *charts.Bar {
	var names []string
	var values []opts.BarData
	for _, row := range r.Workspaces {
		names = append(names, fmt.Sprintf("%s (tier %d)", row.Workspace, row.Tier))
		values = append(values, opts.BarData{Value: ratio(row.Attainment(), r.TierAttainment(row.Tier))})
	}
	bar := newBar("Workspaces", "attainment as a share of the tier's")
	bar.SetXAxis(names).AddSeries("share", values)
	return bar
}

func newBar(title, subtitle string) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}))
	return bar
}
