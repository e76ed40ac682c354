package main

import (
	"fmt"
	"math"
	"strings"
)

// ErrMarker reports that a page doesn't have exactly one pair of marker lines for a table.
type ErrMarker struct {
	// Table is the table's name in the marker lines.
	Table string
	// BeginCount and EndCount are the numbers of begin and end lines found.
	BeginCount, EndCount int
}

func (e ErrMarker) Error() string {
	return fmt.Sprintf("table %s: found %d begin lines and %d end lines, want one begin line before one end line", e.Table, e.BeginCount, e.EndCount)
}

func beginLine(table string) string { return "<!-- capacity " + table + " begin -->" }

func endLine(table string) string { return "<!-- capacity " + table + " end -->" }

// replaceTable replaces the text between the marker lines of a table with body and keeps the rest of the page.
func replaceTable(page, table, body string) (string, error) {
	lines := strings.Split(page, "\n")
	begin, end := -1, -1
	e := ErrMarker{Table: table}
	for i, l := range lines {
		switch strings.TrimSpace(l) {
		case beginLine(table):
			e.BeginCount++
			begin = i
		case endLine(table):
			e.EndCount++
			end = i
		}
	}
	if e.BeginCount != 1 || e.EndCount != 1 || begin > end {
		return "", e
	}
	result := append([]string{}, lines[:begin+1]...)
	result = append(result, strings.TrimRight(body, "\n"))
	result = append(result, lines[end:]...)
	return strings.Join(result, "\n"), nil
}

// markdownTable returns a Markdown table.
func markdownTable(header []string, rows [][]string) string {
	var b strings.Builder
	writeRow := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	writeRow(header)
	separator := make([]string, len(header))
	for i := range separator {
		separator[i] = "---"
	}
	writeRow(separator)
	for _, r := range rows {
		writeRow(r)
	}
	return b.String()
}

// formatNumber formats a number with three significant digits and no exponent.
func formatNumber(v float64) string {
	switch {
	case v == math.Trunc(v) && math.Abs(v) < 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 99.95 || v <= -99.95:
		return groupDigits(fmt.Sprintf("%.0f", v))
	case v >= 9.995:
		return fmt.Sprintf("%.1f", v)
	case v >= 0.9995:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// groupDigits inserts a comma before each group of three digits.
func groupDigits(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// formatBytes formats a number of bytes with a unit.
func formatBytes(v float64) string {
	switch {
	case v >= megabyte*1000:
		return formatNumber(v/megabyte/1000) + " GB"
	case v >= megabyte:
		return formatNumber(v/megabyte) + " MB"
	case v >= kilobyte:
		return formatNumber(v/kilobyte) + " KB"
	default:
		return formatNumber(v) + " B"
	}
}

// formatPercent formats a fraction as a percentage.
func formatPercent(v float64) string { return formatNumber(v*100) + "%" }
