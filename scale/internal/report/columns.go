package report

import "sparspread/scale/internal/results"

// measurement is a row of the tables: a cost that may grow with the size. The value function returns false if
// the result does not contain the value.
type measurement struct {
	name  string
	value func(*results.Result) (value float64, ok bool)
}

// measurements are the rows in the order of printing. Processor time and traffic are medians over the
// gateways, memory is the maximum over the gateways, and the latency of changes is that of the slowest. The
// names are fixed because documents quote the tables; they call simulated gateways "hollow".
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

// sectionMeasurement returns a measurement of a section of a result. It has no value if the run ended before
// the section was measured.
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

// idlePhase and the functions below return sections of a result, or values of these sections.
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

// reloadMeasurement returns a measurement of the reload. It has no value if the result has no reload or the
// value is 0, which means that it was not measured.
func reloadMeasurement(name string, value func(*results.ReloadResult) float64) measurement {
	return measurement{name, ifPositive(func(r *results.Result) float64 {
		if r.Reload == nil {
			return 0
		}
		return value(r.Reload)
	})}
}

// maxOf returns a function for the maximum of the values. It has no value if there are none.
func maxOf(values func(*results.Result) []float64) func(*results.Result) (float64, bool) {
	return func(r *results.Result) (float64, bool) {
		return results.Summarize(values(r)).Max, len(values(r)) > 0
	}
}

// ifPositive returns a function that has no value if the given one returns 0, which means not measured.
func ifPositive(value func(*results.Result) float64) func(*results.Result) (float64, bool) {
	return func(r *results.Result) (float64, bool) { return value(r), value(r) > 0 }
}

func delayUnderLoad(r *results.Result) float64 { return r.LoadPhase.LongestSimulatedDelay() }

// cpuPerRequest returns the gateways' processor time per request, in microseconds: the usage of the load
// phase beyond that of the control phase, in which real gateways receive no requests.
func cpuPerRequest(r *results.Result) (float64, bool) {
	if r.LoadPhase == nil || r.ControlPhase == nil || r.Answers.Sent == 0 {
		return 0, false
	}
	percent := r.LoadPhase.CPUPercent.Median - r.ControlPhase.CPUPercent.Median
	us := percent / 100 * r.LoadPhase.Seconds * 1e6 * float64(r.RealGateways) / float64(r.Answers.Sent)
	return us, percent > 0
}

// countRow is a row of the tables with the sum of a count over the repeats.
type countRow struct {
	name  string
	count func(*results.Result) int64
}

// countRows are the rows of counts in the order of printing.
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
