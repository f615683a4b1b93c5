// Package report prints results as Markdown tables, with the slopes of power laws fitted to the measurements.
package report

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"sparspread/scale/internal/results"
)

const (
	slopeColumns       = 2   // the slope over all sizes, and over the two largest
	minThreeDigitValue = 100 // the lowest value with three digits before the decimal point
)

// Print prints a table for each experiment in the results, in the order of their first results.
func Print(out io.Writer, all []*results.Result) error {
	var names []string
	byName := map[string][]*results.Result{}
	for _, r := range all {
		if byName[r.Experiment] == nil {
			names = append(names, r.Experiment)
		}
		byName[r.Experiment] = append(byName[r.Experiment], r)
	}
	var b strings.Builder
	for _, name := range names {
		newTable(byName[name]).write(&b)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// table holds the results of one experiment, from which a Markdown table is printed.
type table struct {
	results []*results.Result
	sizes   []float64 // in ascending order
	bySize  map[float64][]*results.Result
	// extrapolate is true if the target size has no valid result, so that its column is extrapolated.
	extrapolate bool
	target      float64
}

// newTable groups the results of one experiment by size.
func newTable(all []*results.Result) *table {
	t := &table{results: all, bySize: map[float64][]*results.Result{}, target: all[0].TargetSize}
	for _, r := range all {
		if t.bySize[r.Size] == nil {
			t.sizes = append(t.sizes, r.Size)
		}
		t.bySize[r.Size] = append(t.bySize[r.Size], r)
	}
	slices.Sort(t.sizes)
	t.extrapolate = t.target > 0 && countValid(t.bySize[t.target]) == 0
	return t
}

// write writes the introduction, the Markdown table, the list of invalid results and the rules that were not
// checked.
func (t *table) write(b *strings.Builder) {
	t.writeIntroduction(b)
	t.writeHeader(b)
	for _, m := range measurements {
		t.writeMeasurement(b, m)
	}
	for _, row := range countRows {
		t.writeCount(b, row)
	}
	b.WriteString("\n")
	t.writeInvalidResults(b)
	fmt.Fprintf(b, "Not checked: %s.\n\n", strings.Join(t.results[0].NotChecked, ", "))
}

// writeIntroduction writes the title and the parameters of the experiment.
func (t *table) writeIntroduction(b *strings.Builder) {
	first := t.results[0]
	fmt.Fprintf(b, "## %s\n\nAxis: %s. %d real gateways, %s in the settings, known: %s, service %g ms. ",
		first.Experiment, first.Axis, first.RealGateways, t.tierSizes(), first.LastKnownList,
		first.ServiceTimeMS)
	fmt.Fprintf(b, "Program %s. Minimum / median / maximum of the repeats, or one value if all are equal. "+
		"A column \"worked out\" is extrapolated from the two largest sizes with valid runs.\n\n",
		strings.Join(t.revisions(), ", "))
}

// writeHeader writes the header of the table and the row with the numbers of valid repeats.
func (t *table) writeHeader(b *strings.Builder) {
	b.WriteString("| figure |")
	for _, size := range t.sizes {
		fmt.Fprintf(b, " %s |", columnHeading(t.bySize[size], size))
	}
	if t.extrapolate {
		fmt.Fprintf(b, " %g, worked out |", t.target)
	}
	b.WriteString(" slope | of the last two |\n|---|" + strings.Repeat("---|", len(t.sizes)+slopeColumns))
	if t.extrapolate {
		b.WriteString("---|")
	}
	b.WriteString("\n| repeats run |")
	for _, size := range t.sizes {
		fmt.Fprintf(b, " %d of %d |", countValid(t.bySize[size]), t.bySize[size][0].Repeats)
	}
	if t.extrapolate {
		b.WriteString(" none |")
	}
	b.WriteString(" | |\n")
}

// tierSizes returns the number of gateways in the settings, as a range if it differs between results.
func (t *table) tierSizes() string {
	smallest, largest := t.results[0].TierSize, t.results[0].TierSize
	for _, r := range t.results {
		smallest, largest = min(smallest, r.TierSize), max(largest, r.TierSize)
	}
	if smallest == largest {
		return strconv.Itoa(largest)
	}
	return fmt.Sprintf("%d to %d", smallest, largest)
}

// revisions returns the distinct revisions of the program in the results.
func (t *table) revisions() []string {
	var all []string
	for _, r := range t.results {
		if !slices.Contains(all, r.Revision) {
			all = append(all, r.Revision)
		}
	}
	return all
}

// columnHeading returns the heading of a size's column.
func columnHeading(ofSize []*results.Result, size float64) string {
	if label := ofSize[0].Label; label != "" {
		return fmt.Sprintf("%g (%s)", size, label)
	}
	return fmt.Sprintf("%g", size)
}

// countValid returns the number of valid results.
func countValid(ofSize []*results.Result) (n int) {
	for _, r := range ofSize {
		if r.Status == results.StatusRun {
			n++
		}
	}
	return n
}

// writeMeasurement writes the row of a measurement. Values from runs that were stopped, or whose simulated
// gateways were late, are marked with an asterisk and excluded from the slopes.
func (t *table) writeMeasurement(b *strings.Builder, m measurement) {
	var sizes, values []float64 // of the valid results
	fmt.Fprintf(b, "| %s |", m.name)
	for _, size := range t.sizes {
		valid, other := measureSize(m, t.bySize[size])
		for _, value := range valid {
			sizes, values = append(sizes, size), append(values, value)
		}
		mark := ""
		if len(other) > 0 {
			mark = "*"
		}
		fmt.Fprintf(b, " %s |", formatSummary(append(valid, other...), mark))
	}
	all, hasSlope := fitSlope(sizes, values)
	largestTwo, hasLargestTwo := fitLargestTwo(sizes, values)
	if t.extrapolate {
		fmt.Fprintf(b, " %s |", formatIfMeasured(hasLargestTwo, func() string {
			return formatValue(largestTwo.valueAt(t.target))
		}))
	}
	fmt.Fprintf(b, " %s |", formatIfMeasured(hasSlope, all.String))
	fmt.Fprintf(b, " %s |\n", formatIfMeasured(hasLargestTwo, func() string {
		return fmt.Sprintf("%.2f", largestTwo.exponent)
	}))
}

// measureSize returns the values of a measurement in the valid results of a size, and in the others.
func measureSize(m measurement, ofSize []*results.Result) (valid, other []float64) {
	for _, r := range ofSize {
		value, ok := m.value(r)
		switch {
		case !ok:
		case r.Status == results.StatusRun:
			valid = append(valid, value)
		default:
			other = append(other, value)
		}
	}
	return valid, other
}

// notMeasured is printed in place of a missing value.
const notMeasured = "-"

// formatIfMeasured returns the result of text, or notMeasured if the value is missing.
func formatIfMeasured(measured bool, text func() string) string {
	if !measured {
		return notMeasured
	}
	return text()
}

// formatSummary returns the minimum, median and maximum of the values, or one value if all are the same,
// followed by the mark.
func formatSummary(values []float64, mark string) string {
	if len(values) == 0 {
		return notMeasured
	}
	s := results.Summarize(values)
	if s.Min == s.Max {
		return formatValue(s.Min) + mark
	}
	return fmt.Sprintf("%s / %s / %s%s", formatValue(s.Min), formatValue(s.Median), formatValue(s.Max), mark)
}

// formatValue formats a value with three significant digits, or as a whole number from 100 on.
func formatValue(v float64) string {
	if v >= minThreeDigitValue {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// writeCount writes the row of a count, summed over the results of each size.
func (t *table) writeCount(b *strings.Builder, row countRow) {
	fmt.Fprintf(b, "| %s, sum |", row.name)
	for _, size := range t.sizes {
		sum := int64(0)
		for _, r := range t.bySize[size] {
			sum += row.count(r)
		}
		fmt.Fprintf(b, " %d |", sum)
	}
	if t.extrapolate {
		b.WriteString(" |")
	}
	b.WriteString(" | |\n")
}

// writeInvalidResults lists the results that are not valid, with the reasons.
func (t *table) writeInvalidResults(b *strings.Builder) {
	stopped := false
	for _, r := range t.results {
		if r.Status != results.StatusRun {
			fmt.Fprintf(b, "- %g, repeat %d: %s (*)\n", r.Size, r.Repeat, r.Status)
			stopped = true
		}
	}
	if stopped {
		b.WriteString("\n")
	}
}
