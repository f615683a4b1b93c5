package report

import "sparspread/scale/internal/results"

// measurement is a cost that may grow with the size. The tables have a row for each.
type measurement struct {
	name  string
	value func(*results.Result) (value float64, ok bool)
}

// measurements are printed in this order: of the gateways the median processor time and traffic and the
// maximum of memory, of the changes the slowest. The names are those of the pages that quote the tables, and
// call simulated gateways hollow.
var measurements = []measurement{
	sectionMeasurement("idle CPU %", idlePhase, medianCPU),
	sectionMeasurement("control CPU %", controlPhase, medianCPU),
	sectionMeasurement("load CPU %", loadPhase, medianCPU),
	{"CPU us a request", cpuPerRequest},
	{"start peak MB", maxOf(func(r *results.Result) []float64 { return r.StartPeakMB })},
	sectionMeasurement("control peak MB", controlPhase, maxPeak),
	sectionMeasurement("load peak MB", loadPhase, maxPeak),
	sectionMeasurement("control in KB/s", controlPhase, medianInKBs),
	sectionMeasurement("control out KB/s", controlPhase, medianOutKBs),
	sectionMeasurement("control in msg/s", controlPhase, medianInMessages),
	sectionMeasurement("control out msg/s", controlPhase, medianOutMessages),
	sectionMeasurement("load in KB/s", loadPhase, medianInKBs),
	sectionMeasurement("load out KB/s", loadPhase, medianOutKBs),
	sectionMeasurement("added p50 ms", addedLatency, p50),
	sectionMeasurement("added p99 ms", addedLatency, p99),
	sectionMeasurement("without a gateway p50 ms", baselineLatency, p50),
	sectionMeasurement("without a gateway p99 ms", baselineLatency, p99),
	sectionMeasurement("machine busy under load %", loadPhase, machineBusy),
	{"hollow late under load ms", ifPositive(delayUnderLoad)},
	{"change ms", maxOf(func(r *results.Result) []float64 { return r.ChangeLatencyMS })},
	reloadMeasurement("SIGHUP call ms", func(r *results.ReloadResult) float64 { return r.FirstCallMS }),
	reloadMeasurement("SIGHUP list ms", func(r *results.ReloadResult) float64 { return r.ListAppliedMS }),
	reloadMeasurement("2 s from SIGHUP in KB/s", func(r *results.ReloadResult) float64 {
		return r.InKBPerSecond.Median
	}),
	{"list bytes", ifPositive(func(r *results.Result) float64 { return float64(r.ListBytes) })},
}

// sectionMeasurement measures a section of a result, where the run got that far.
func sectionMeasurement[Section any](
	name string, section func(*results.Result) *Section, value func(*Section) float64,
) measurement {
	return measurement{name, func(r *results.Result) (float64, bool) {
		s := section(r)
		if s == nil {
			return 0, false
		}
		return value(s), true
	}}
}

// idlePhase and the functions below are the sections of a result, and values in them.
func idlePhase(r *results.Result) *results.PhaseUsage    { return r.IdlePhase }
func controlPhase(r *results.Result) *results.PhaseUsage { return r.ControlPhase }
func loadPhase(r *results.Result) *results.PhaseUsage    { return r.LoadPhase }

func medianCPU(u *results.PhaseUsage) float64 { return u.CPUPercent.Median }
func maxPeak(u *results.PhaseUsage) float64   { return u.PeakMB.Max }

func medianInKBs(u *results.PhaseUsage) float64       { return u.InKBPerSecond.Median }
func medianOutKBs(u *results.PhaseUsage) float64      { return u.OutKBPerSecond.Median }
func medianInMessages(u *results.PhaseUsage) float64  { return u.InMessagesPerSecond.Median }
func medianOutMessages(u *results.PhaseUsage) float64 { return u.OutMessagesPerSecond.Median }
func machineBusy(u *results.PhaseUsage) float64       { return u.MachinePercent }

func addedLatency(r *results.Result) *results.AddedLatency    { return r.Added }
func baselineLatency(r *results.Result) *results.AddedLatency { return r.Baseline }

func p50(l *results.AddedLatency) float64 { return l.P50MS }
func p99(l *results.AddedLatency) float64 { return l.P99MS }

// reloadMeasurement measures the reload. What it did not get to is 0.
func reloadMeasurement(name string, value func(*results.ReloadResult) float64) measurement {
	return measurement{name, ifPositive(func(r *results.Result) float64 {
		if r.Reload == nil {
			return 0
		}
		return value(r.Reload)
	})}
}

// maxOf measures the maximum of values, where there are any.
func maxOf(values func(*results.Result) []float64) func(*results.Result) (float64, bool) {
	return func(r *results.Result) (float64, bool) {
		return results.Summarize(values(r)).Max, len(values(r)) > 0
	}
}

// ifPositive measures a value that is 0 where it was not measured.
func ifPositive(value func(*results.Result) float64) func(*results.Result) (float64, bool) {
	return func(r *results.Result) (float64, bool) { return value(r), value(r) > 0 }
}

func delayUnderLoad(r *results.Result) float64 { return r.LoadPhase.LongestSimulatedDelay() }

// cpuPerRequest measures the gateways' processor time for a request, in microseconds: what the phase with
// requests used beyond the one without.
func cpuPerRequest(r *results.Result) (float64, bool) {
	if r.LoadPhase == nil || r.ControlPhase == nil || r.Answers.Sent == 0 {
		return 0, false
	}
	percent := r.LoadPhase.CPUPercent.Median - r.ControlPhase.CPUPercent.Median
	us := percent / 100 * r.LoadPhase.Seconds * 1e6 * float64(r.RealGateways) / float64(r.Answers.Sent)
	return us, percent > 0
}

// countRow is a row with the sum of a count over the repeats.
type countRow struct {
	name  string
	count func(*results.Result) int64
}

// countRows are printed in this order.
var countRows = []countRow{
	{"requests sent", func(r *results.Result) int64 { return int64(r.Answers.Sent) }},
	{"served", func(r *results.Result) int64 { return int64(r.Answers.Served) }},
	{"refused", func(r *results.Result) int64 { return int64(r.Answers.Rejected) }},
	{"failed", func(r *results.Result) int64 { return int64(r.Answers.Failed) }},
	{"unanswered in time", func(r *results.Result) int64 { return int64(r.Answers.TimedOut) }},
	{"broken off by the gateway", func(r *results.Result) int64 { return int64(r.Answers.Disconnected) }},
	{"answered twice or by no backend", func(r *results.Result) int64 {
		return int64(r.Answers.WrongValue + r.Answers.ExtraBytes)
	}},
	{"not sent by the clients", func(r *results.Result) int64 { return int64(r.Answers.NotSent) }},
	{"members changed under way", func(r *results.Result) int64 { return int64(r.BackendsChanged) }},
	{"sent to drained within the grace", func(r *results.Result) int64 { return r.Backends.DrainingInGrace }},
	{"sent to drained after the grace", func(r *results.Result) int64 {
		return r.Backends.DrainingAfterGrace
	}},
	{"capped customers' requests sent on", func(r *results.Result) int64 { return int64(r.Capped.Requests) }},
	{"of them beyond the quota", func(r *results.Result) int64 { return int64(r.Capped.BeyondQuota) }},
	{"of them beyond the ceiling", func(r *results.Result) int64 { return int64(r.Capped.BeyondCeiling) }},
	{"connections to backends", func(r *results.Result) int64 { return r.Backends.Connections }},
	{"lists refused", func(r *results.Result) int64 { return int64(r.ListsRejected) }},
	{"changes lost after SIGHUP", func(r *results.Result) int64 {
		if r.Reload != nil && r.Reload.ChangeLost {
			return 1
		}
		return 0
	}},
	{"gateways that ended", func(r *results.Result) int64 { return int64(r.GatewaysExited) }},
	{"notes dropped at hollow gateways", func(r *results.Result) int64 { return r.SimulatedGossipDropped }},
}
