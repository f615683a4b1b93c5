// Package results defines the measurements of a run and reads and writes them as files with one JSON object
// per line. The keys match those of recorded files, which call simulated gateways "hollow". Times are in
// milliseconds, memory in megabytes of 10^6 bytes, processor time in percent of one core.
package results

import "sparspread/scale/internal/model"

// StatusRun is the status of a run that was completed and is valid. The status of any other run begins
// with "stopped: ", or with "behind: " if the simulated gateways could not keep up, followed by the reason.
const StatusRun = "run"

// Result holds the measurements of one run. Size is the value of the quantity that the experiment varies.
// Axis names this quantity: model.AxisBackends, AxisGateways, AxisChanges or AxisRequests.
type Result struct {
	Experiment string  `json:"experiment"`
	Axis       string  `json:"axis"`
	Size       float64 `json:"size"`
	Label      string  `json:"label,omitempty"`
	TargetSize float64 `json:"target,omitempty"`
	Repeat     int     `json:"repeat"` // from 1
	Repeats    int     `json:"repeats"`
	Status     string  `json:"status"`
	Revision   string  `json:"revision"` // the program's version control revision
	Started    string  `json:"begun"`    // RFC 3339

	Point             model.Point `json:"point"`
	RealGateways      int         `json:"real"`
	SimulatedGateways int         `json:"hollow"`
	TierSize          int         `json:"tier"` // the number of gateways in the settings
	MemoryMB          int         `json:"memory_mb"`
	LastKnownList     string      `json:"known"`
	ServiceTimeMS     float64     `json:"service_ms"`
	ListBytes         int         `json:"list_bytes"`

	ReadyMS         float64       `json:"ready_ms,omitempty"`      // time until all real gateways were ready
	StartPeakMB     []float64     `json:"start_peak_mb,omitempty"` // one for each real gateway
	IdlePhase       *PhaseUsage   `json:"idle,omitempty"`
	ControlPhase    *PhaseUsage   `json:"control,omitempty"`
	LoadPhase       *PhaseUsage   `json:"load,omitempty"`
	BackendsChanged int           `json:"members_changed"`
	Baseline        *AddedLatency `json:"bare,omitempty"` // latency of the stand-ins without a gateway
	Added           *AddedLatency `json:"added,omitempty"`
	ChangeLatencyMS []float64     `json:"change_ms,omitempty"` // per change, time until all gateways had it
	Reload          *ReloadResult `json:"sighup,omitempty"`

	Answers                Answers       `json:"answers"`
	Backends               BackendCounts `json:"backends"`
	Capped                 CeilingCounts `json:"capped"`
	ListsRejected          int           `json:"lists_refused"`
	GatewaysExited         int           `json:"gateways_ended"` // real gateways that exited unexpectedly
	SimulatedRequests      int64         `json:"hollow_requests"`
	SimulatedGossipDropped int64         `json:"hollow_notes_dropped"`
	NotChecked             []string      `json:"not_checked"` // rules that the run did not check
}

// PhaseUsage is the resource usage of the real gateways during a phase, summarized over the gateways.
type PhaseUsage struct {
	Seconds                 float64 `json:"seconds"`
	CPUPercent              Summary `json:"cpu_percent"`
	ResidentMB              Summary `json:"held_mb"` // resident memory at the end of the phase
	PeakMB                  Summary `json:"peak_mb"`
	InKBPerSecond           Summary `json:"in_kb_per_s"` // this and the next three fields: control traffic
	InMessagesPerSecond     Summary `json:"in_messages_per_s"`
	OutKBPerSecond          Summary `json:"out_kb_per_s"`
	OutMessagesPerSecond    Summary `json:"out_messages_per_s"`
	LongestSimulatedDelayMS float64 `json:"hollow_late_ms,omitempty"` // longest delay of a simulated gateway
	MachinePercent          float64 `json:"machine_percent"`          // usage of all cores by all processes
}

// LongestSimulatedDelay returns the longest delay of a simulated gateway, in milliseconds. It is 0 if the
// phase was not measured.
func (u *PhaseUsage) LongestSimulatedDelay() float64 {
	if u == nil {
		return 0
	}
	return u.LongestSimulatedDelayMS
}

// AddedLatency is the latency of requests beyond the backends' service time.
type AddedLatency struct {
	P50MS        float64 `json:"p50_ms"` // over the requests of all gateways
	P99MS        float64 `json:"p99_ms"`
	P50ByGateway Summary `json:"p50_by_gateway_ms"`
	P99ByGateway Summary `json:"p99_by_gateway_ms"`
	Samples      int     `json:"samples"`
}

// ReloadResult measures how the gateways switched to another discovery address after SIGHUP.
type ReloadResult struct {
	// FirstCallMS is the time from SIGHUP until the last gateway first called the new address.
	FirstCallMS float64 `json:"called_ms"`
	// ListAppliedMS is the time from SIGHUP until the last gateway applied the list from the new address.
	ListAppliedMS float64 `json:"listed_ms,omitempty"`
	// InKBPerSecond is the control traffic received during at least two seconds from SIGHUP.
	InKBPerSecond Summary `json:"in_kb_per_s"`
	ListsRejected int     `json:"lists_refused"`
	// ChangeLatencyMS is the time until a change after the reload reached the last gateway.
	ChangeLatencyMS float64 `json:"change_ms,omitempty"`
	ChangeLost      bool    `json:"change_lost"` // that change did not reach all gateways in time
}

// Answers counts the clients' requests by outcome.
type Answers struct {
	Sent         int `json:"sent"`
	Served       int `json:"served"`
	Rejected     int `json:"refused"`
	Failed       int `json:"failed"`
	Disconnected int `json:"broken"`       // connection failed or closed before a complete answer
	TimedOut     int `json:"unanswered"`   // no answer within the client's timeout and the rules' slack
	WrongValue   int `json:"foreign"`      // answered with a value that no backend returned for the request
	ExtraBytes   int `json:"further"`      // connections that received bytes after an answer
	NotSent      int `json:"not_sent"`     // not sent because the clients reached their connection limit
	Resent       int `json:"sent_again"`   // sent again because the gateway had closed the idle connection
	NotMeasured  int `json:"not_measured"` // served, but with a latency beyond the histogram's range
}

// Add adds the counts of b.
func (a *Answers) Add(b Answers) {
	a.Sent += b.Sent
	a.Served += b.Served
	a.Rejected += b.Rejected
	a.Failed += b.Failed
	a.Disconnected += b.Disconnected
	a.TimedOut += b.TimedOut
	a.WrongValue += b.WrongValue
	a.ExtraBytes += b.ExtraBytes
	a.NotSent += b.NotSent
	a.Resent += b.Resent
	a.NotMeasured += b.NotMeasured
}

// BackendCounts holds the counts of the stand-in backends.
type BackendCounts struct {
	Commands           int64 `json:"commands"`
	Connections        int64 `json:"connections"`
	Malformed          int64 `json:"strange"` // commands other than those of a gateway
	DrainingInGrace    int64 `json:"draining_in_grace"`
	DrainingAfterGrace int64 `json:"draining_after_grace"`
	// MaxAfterDrainMS is the longest time from the start of a drain to a command that reached the draining
	// backend.
	MaxAfterDrainMS float64 `json:"drain_last_ms"`
}

// CeilingCounts counts the requests that reached backends from customers of the capped plan, who send more
// than their plan allows.
type CeilingCounts struct {
	Requests        int     `json:"taken"`          // sent to backends by all gateways
	BeyondQuota     int     `json:"beyond_quota"`   // beyond the quota, which costs but violates no rule
	BeyondCeiling   int     `json:"beyond_ceiling"` // beyond the ceiling, which violates a rule
	MinCeilingLevel float64 `json:"least_ceiling"`  // the lowest level of a ceiling's token bucket, in units
}
