package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// column is a figure of the tables: a cost that may grow with the size.
type column struct {
	name string
	of   func(r *result) (value float64, ok bool)
}

func phaseColumn(name string, phase func(*result) *phaseFigures, of func(*phaseFigures) float64) column {
	return column{name, func(r *result) (float64, bool) {
		if f := phase(r); f != nil {
			return of(f), true
		}
		return 0, false
	}}
}

func idleOf(r *result) *phaseFigures    { return r.Idle }
func controlOf(r *result) *phaseFigures { return r.Control }
func loadOf(r *result) *phaseFigures    { return r.Load }

func cpuOf(f *phaseFigures) float64  { return f.CPUPercent.Median }
func peakOf(f *phaseFigures) float64 { return f.PeakMB.Most }

// columns are printed in this order. Of the gateways, the median processor time and traffic, and the
// most memory; of the changes, the slowest.
var columns = []column{
	phaseColumn("idle CPU %", idleOf, cpuOf),
	phaseColumn("control CPU %", controlOf, cpuOf),
	phaseColumn("load CPU %", loadOf, cpuOf),
	{"CPU us a request", func(r *result) (float64, bool) {
		if r.Load == nil || r.Control == nil || r.Answers.Sent == 0 {
			return 0, false
		}
		percent := r.Load.CPUPercent.Median - r.Control.CPUPercent.Median
		return percent / 100 * r.Load.Seconds * 1e6 * float64(r.Real) / float64(r.Answers.Sent), percent > 0
	}},
	{"start peak MB", func(r *result) (float64, bool) { return spreadOf(r.StartPeakMB).Most, len(r.StartPeakMB) > 0 }},
	phaseColumn("control peak MB", controlOf, peakOf),
	phaseColumn("load peak MB", loadOf, peakOf),
	phaseColumn("control in KB/s", controlOf, func(f *phaseFigures) float64 { return f.InKBs.Median }),
	phaseColumn("control out KB/s", controlOf, func(f *phaseFigures) float64 { return f.OutKBs.Median }),
	phaseColumn("control in msg/s", controlOf, func(f *phaseFigures) float64 { return f.InMessages.Median }),
	phaseColumn("control out msg/s", controlOf, func(f *phaseFigures) float64 { return f.OutMessages.Median }),
	phaseColumn("load in KB/s", loadOf, func(f *phaseFigures) float64 { return f.InKBs.Median }),
	phaseColumn("load out KB/s", loadOf, func(f *phaseFigures) float64 { return f.OutKBs.Median }),
	{"added p50 ms", func(r *result) (float64, bool) {
		if r.Added == nil {
			return 0, false
		}
		return r.Added.P50MS, true
	}},
	{"added p99 ms", func(r *result) (float64, bool) {
		if r.Added == nil {
			return 0, false
		}
		return r.Added.P99MS, true
	}},
	{"without a gateway p50 ms", func(r *result) (float64, bool) {
		if r.Bare == nil {
			return 0, false
		}
		return r.Bare.P50MS, true
	}},
	{"without a gateway p99 ms", func(r *result) (float64, bool) {
		if r.Bare == nil {
			return 0, false
		}
		return r.Bare.P99MS, true
	}},
	phaseColumn("machine busy under load %", loadOf, func(f *phaseFigures) float64 { return f.MachinePercent }),
	{"hollow late under load ms", func(r *result) (float64, bool) { return lateOf(r.Load), lateOf(r.Load) > 0 }},
	{"change ms", func(r *result) (float64, bool) { return spreadOf(r.ChangeMS).Most, len(r.ChangeMS) > 0 }},
	{"SIGHUP call ms", func(r *result) (float64, bool) {
		if r.SIGHUP == nil {
			return 0, false
		}
		return r.SIGHUP.CalledMS, r.SIGHUP.CalledMS > 0
	}},
	{"SIGHUP list ms", func(r *result) (float64, bool) {
		if r.SIGHUP == nil {
			return 0, false
		}
		return r.SIGHUP.ListedMS, r.SIGHUP.ListedMS > 0
	}},
	{"2 s from SIGHUP in KB/s", func(r *result) (float64, bool) {
		if r.SIGHUP == nil {
			return 0, false
		}
		return r.SIGHUP.InKBs.Median, r.SIGHUP.InKBs.Median > 0
	}},
	{"list bytes", func(r *result) (float64, bool) { return float64(r.ListBytes), r.ListBytes > 0 }},
}

// slope is how a figure grows: as the size to the power b, through exp(a) at 1.
type slope struct {
	a, b, deviation float64
	points          int
}

// fit fits a line through the logarithms; it needs two sizes. The deviation is the slope's standard error,
// which needs three points.
func fit(sizes, values []float64) (slope, bool) {
	var xs, ys []float64
	for i, v := range values {
		if v > 0 && sizes[i] > 0 {
			xs, ys = append(xs, math.Log(sizes[i])), append(ys, math.Log(v))
		}
	}
	if len(xs) == 0 || slices.Min(xs) == slices.Max(xs) {
		return slope{}, false
	}
	s := slope{points: len(xs), deviation: math.NaN()}
	s.a, s.b = stat.LinearRegression(xs, ys, nil, false)
	if n := float64(len(xs)); n > 2 {
		rest := 0.0
		for i, x := range xs {
			d := ys[i] - s.a - s.b*x
			rest += d * d
		}
		s.deviation = math.Sqrt(rest / (n - 2) / (stat.Variance(xs, nil) * (n - 1)))
	}
	return s, true
}

// last fits the medians of the two largest sizes alone. Most costs have a part that does not grow: what a
// fit through all sizes gives is too flat beyond them.
func last(sizes, values []float64) (slope, bool) {
	byS := map[float64][]float64{}
	for i, size := range sizes {
		byS[size] = append(byS[size], values[i])
	}
	order := slices.Sorted(maps.Keys(byS))
	if len(order) < 2 {
		return slope{}, false
	}
	order = order[len(order)-2:]
	return fit(order, []float64{spreadOf(byS[order[0]]).Median, spreadOf(byS[order[1]]).Median})
}

func (s slope) at(size float64) float64 { return math.Exp(s.a + s.b*math.Log(size)) }

// printReport prints a table for each experiment of the results, in Markdown.
func printReport(out io.Writer, results []*result) error {
	var names []string
	byName := map[string][]*result{}
	for _, r := range results {
		if byName[r.Experiment] == nil {
			names = append(names, r.Experiment)
		}
		byName[r.Experiment] = append(byName[r.Experiment], r)
	}
	var b strings.Builder
	for _, name := range names {
		reportExperiment(&b, byName[name])
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

func reportExperiment(b *strings.Builder, results []*result) {
	sizes, bySize := grouped(results)
	first := results[0]
	fmt.Fprintf(b, "## %s\n\nAxis: %s. %d real gateways, %s in the settings, known: %s, service %g ms. ",
		first.Experiment, first.Axis, first.Real, tiersOf(results), first.Known, first.ServiceMS)
	fmt.Fprintf(b, "Program %s. Least / median / most of the repeats, one figure where they are the same or there is one. "+
		"What is worked out goes on from the two largest sizes that ran.\n\n", strings.Join(revisions(results), ", "))
	fmt.Fprintf(b, "| figure |")
	for _, size := range sizes {
		fmt.Fprintf(b, " %s |", headOf(bySize[size], size))
	}
	target := first.Target > 0 && !ran(bySize[first.Target])
	if target {
		fmt.Fprintf(b, " %g, worked out |", first.Target)
	}
	b.WriteString(" slope | of the last two |\n|---|" + strings.Repeat("---|", len(sizes)+2))
	if target {
		b.WriteString("---|")
	}
	fmt.Fprintf(b, "\n| repeats run |")
	for _, size := range sizes {
		fmt.Fprintf(b, " %d of %d |", countRan(bySize[size]), bySize[size][0].Repeats)
	}
	if target {
		b.WriteString(" none |")
	}
	b.WriteString(" | |\n")
	for _, c := range columns {
		c.row(b, sizes, bySize, target, first.Target)
	}
	reportRules(b, sizes, bySize, target)
	reportStops(b, results)
	fmt.Fprintf(b, "Not checked: %s.\n\n", strings.Join(first.NotChecked, ", "))
}

// grouped gives the sizes, from the least, and the results of each.
func grouped(results []*result) (sizes []float64, bySize map[float64][]*result) {
	bySize = map[float64][]*result{}
	for _, r := range results {
		if bySize[r.Size] == nil {
			sizes = append(sizes, r.Size)
		}
		bySize[r.Size] = append(bySize[r.Size], r)
	}
	slices.Sort(sizes)
	return sizes, bySize
}

// tiersOf tells how many gateways the settings name.
func tiersOf(results []*result) string {
	least, most := results[0].Tier, results[0].Tier
	for _, r := range results {
		least, most = min(least, r.Tier), max(most, r.Tier)
	}
	if least == most {
		return fmt.Sprint(most)
	}
	return fmt.Sprintf("%d to %d", least, most)
}

func revisions(results []*result) []string {
	var all []string
	for _, r := range results {
		if !slices.Contains(all, r.Revision) {
			all = append(all, r.Revision)
		}
	}
	return all
}

func headOf(results []*result, size float64) string {
	if label := results[0].Label; label != "" {
		return fmt.Sprintf("%g (%s)", size, label)
	}
	return fmt.Sprintf("%g", size)
}

func countRan(results []*result) (n int) {
	for _, r := range results {
		if r.Status == statusRun {
			n++
		}
	}
	return n
}

func ran(results []*result) bool { return countRan(results) > 0 }

// row prints a figure at each size. What a size gave before it was stopped, or while hollow gateways were
// late, is printed with a star, and counts for no slope.
func (c column) row(b *strings.Builder, sizes []float64, bySize map[float64][]*result, target bool, targetSize float64) {
	var xs, ys []float64
	fmt.Fprintf(b, "| %s |", c.name)
	for _, size := range sizes {
		var values []float64
		star := ""
		for _, r := range bySize[size] {
			v, ok := c.of(r)
			if !ok {
				continue
			}
			values = append(values, v)
			if r.Status == statusRun {
				xs, ys = append(xs, size), append(ys, v)
			} else {
				star = "*"
			}
		}
		if len(values) == 0 {
			b.WriteString(" - |")
			continue
		}
		s := spreadOf(values)
		if s.Least == s.Most {
			fmt.Fprintf(b, " %s%s |", short(s.Least), star)
			continue
		}
		fmt.Fprintf(b, " %s / %s / %s%s |", short(s.Least), short(s.Median), short(s.Most), star)
	}
	s, ok := fit(xs, ys)
	end, ended := last(xs, ys)
	if target {
		if ended {
			fmt.Fprintf(b, " %s |", short(end.at(targetSize)))
		} else {
			b.WriteString(" - |")
		}
	}
	switch {
	case !ok:
		b.WriteString(" - |")
	case math.IsNaN(s.deviation):
		fmt.Fprintf(b, " %.2f (%d points) |", s.b, s.points)
	default:
		fmt.Fprintf(b, " %.2f ± %.2f (%d points) |", s.b, s.deviation, s.points)
	}
	if ended {
		fmt.Fprintf(b, " %.2f |\n", end.b)
	} else {
		b.WriteString(" - |\n")
	}
}

// short writes three digits that count.
func short(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// ruleRows are sums over the repeats.
var ruleRows = []struct {
	name string
	of   func(r *result) int64
}{
	{"requests sent", func(r *result) int64 { return int64(r.Answers.Sent) }},
	{"served", func(r *result) int64 { return int64(r.Answers.Served) }},
	{"refused", func(r *result) int64 { return int64(r.Answers.Refused) }},
	{"failed", func(r *result) int64 { return int64(r.Answers.Failed) }},
	{"unanswered in time", func(r *result) int64 { return int64(r.Answers.Unanswered) }},
	{"broken off by the gateway", func(r *result) int64 { return int64(r.Answers.Broken) }},
	{"answered twice or by no backend", func(r *result) int64 { return int64(r.Answers.Foreign + r.Answers.Further) }},
	{"not sent by the clients", func(r *result) int64 { return int64(r.Answers.NotSent) }},
	{"members changed under way", func(r *result) int64 { return int64(r.MembersChanged) }},
	{"sent to drained within the grace", func(r *result) int64 { return r.Backends.DrainingInGrace }},
	{"sent to drained after the grace", func(r *result) int64 { return r.Backends.DrainingAfterGrace }},
	{"capped customers' requests sent on", func(r *result) int64 { return int64(r.Capped.Taken) }},
	{"of them beyond the quota", func(r *result) int64 { return int64(r.Capped.BeyondQuota) }},
	{"of them beyond the ceiling", func(r *result) int64 { return int64(r.Capped.BeyondCeiling) }},
	{"connections to backends", func(r *result) int64 { return r.Backends.Connections }},
	{"lists refused", func(r *result) int64 { return int64(r.ListsRefused) }},
	{"changes lost after SIGHUP", func(r *result) int64 {
		if r.SIGHUP != nil && r.SIGHUP.ChangeLost {
			return 1
		}
		return 0
	}},
	{"gateways that ended", func(r *result) int64 { return int64(r.GatewaysEnded) }},
	{"notes dropped at hollow gateways", func(r *result) int64 { return r.HollowNotesDropped }},
}

func reportRules(b *strings.Builder, sizes []float64, bySize map[float64][]*result, target bool) {
	for _, row := range ruleRows {
		fmt.Fprintf(b, "| %s, sum |", row.name)
		for _, size := range sizes {
			sum := int64(0)
			for _, r := range bySize[size] {
				sum += row.of(r)
			}
			fmt.Fprintf(b, " %d |", sum)
		}
		if target {
			b.WriteString(" |")
		}
		b.WriteString(" | |\n")
	}
	b.WriteString("\n")
}

func reportStops(b *strings.Builder, results []*result) {
	stopped := false
	for _, r := range results {
		if r.Status != statusRun {
			fmt.Fprintf(b, "- %g, repeat %d: %s (*)\n", r.Size, r.Repeat, r.Status)
			stopped = true
		}
	}
	if stopped {
		b.WriteString("\n")
	}
}
