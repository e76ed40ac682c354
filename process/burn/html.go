package burn

import (
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// HTML writes the summary as an HTML page of charts.
func (s *Summary) HTML(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "toucanroute service-level burn"
	page.AddCharts(burnChart("Burn by class", s.Classes), causeChart(s.Classes), burnChart("Burn by workspace", s.Workspaces))
	return page.Render(w)
}

// burnChart returns a bar chart of the burn rates over both windows.
func burnChart(title string, rows []*SummaryRow) *charts.Bar {
	var names []string
	var short, long []opts.BarData
	for _, row := range rows {
		names = append(names, row.Class+" "+row.Workspace)
		short = append(short, opts.BarData{Value: row.ShortBurn})
		long = append(long, opts.BarData{Value: row.LongBurn})
	}
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title, Subtitle: "misses as a multiple of the error budget"}))
	bar.SetXAxis(names).AddSeries("5 minutes", short).AddSeries("1 hour", long)
	return bar
}

// causeChart returns a bar chart of the missed requests of each class by cause.
func causeChart(rows []*SummaryRow) *charts.Bar {
	var names []string
	var queueing, server, refusal, eviction []opts.BarData
	for _, row := range rows {
		names = append(names, row.Class)
		queueing = append(queueing, opts.BarData{Value: row.Long.Queueing})
		server = append(server, opts.BarData{Value: row.Long.Server})
		refusal = append(refusal, opts.BarData{Value: row.Long.Refusal})
		eviction = append(eviction, opts.BarData{Value: row.Long.Eviction})
	}
	bar := charts.NewBar()
	bar.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "What burned it", Subtitle: "requests in 1 hour"}))
	bar.SetXAxis(names).AddSeries("queueing", queueing).AddSeries("server", server).
		AddSeries("refusal", refusal).AddSeries("eviction", eviction)
	return bar
}
