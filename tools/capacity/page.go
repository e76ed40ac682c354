package main

import (
	"fmt"
	"math"
	"strings"
)

// ErrMarker tells that a page doesn't have exactly one pair of marker lines for a table.
type ErrMarker struct {
	// Table is the name in the marker lines.
	Table string
	// Begins and Ends count the marker lines.
	Begins, Ends int
}

func (e ErrMarker) Error() string {
	return fmt.Sprintf("table %s: %d begin lines and %d end lines, want one of each in this order", e.Table, e.Begins, e.Ends)
}

func beginLine(table string) string { return "<!-- capacity " + table + " begin -->" }

func endLine(table string) string { return "<!-- capacity " + table + " end -->" }

// rewrite puts body between the marker lines of a table and keeps the rest of the page.
func rewrite(page, table, body string) (string, error) {
	lines := strings.Split(page, "\n")
	begin, end := -1, -1
	e := ErrMarker{Table: table}
	for i, l := range lines {
		switch strings.TrimSpace(l) {
		case beginLine(table):
			e.Begins++
			begin = i
		case endLine(table):
			e.Ends++
			end = i
		}
	}
	if e.Begins != 1 || e.Ends != 1 || begin > end {
		return "", e
	}
	kept := append([]string{}, lines[:begin+1]...)
	kept = append(kept, strings.TrimRight(body, "\n"))
	kept = append(kept, lines[end:]...)
	return strings.Join(kept, "\n"), nil
}

// markdown returns a table of rows below a head.
func markdown(head []string, rows [][]string) string {
	var b strings.Builder
	write := func(cells []string) {
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	write(head)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	write(rule)
	for _, r := range rows {
		write(r)
	}
	return b.String()
}

// number writes a figure with three significant digits and no exponent.
func number(v float64) string {
	switch {
	case v == math.Trunc(v) && math.Abs(v) < 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 99.95 || v <= -99.95:
		return grouped(fmt.Sprintf("%.0f", v))
	case v >= 9.995:
		return fmt.Sprintf("%.1f", v)
	case v >= 0.9995:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// grouped puts a comma before each third digit from the right.
func grouped(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// bytesOf writes a number of bytes with a unit.
func bytesOf(v float64) string {
	switch {
	case v >= megabyte*1000:
		return number(v/megabyte/1000) + " GB"
	case v >= megabyte:
		return number(v/megabyte) + " MB"
	case v >= kilobyte:
		return number(v/kilobyte) + " KB"
	default:
		return number(v) + " B"
	}
}

// percent writes a share.
func percent(v float64) string { return number(v*100) + "%" }
