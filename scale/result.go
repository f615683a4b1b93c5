package main

import (
	"slices"
	"time"
)

const statusRun = "run"

// result is what one size gave, once. Milliseconds, megabytes of 10^6 bytes, and percents of one core.
type result struct {
	Experiment string  `json:"experiment"`
	Axis       string  `json:"axis"`
	Size       float64 `json:"size"`
	Label      string  `json:"label,omitempty"`
	Target     float64 `json:"target,omitempty"`
	Repeat     int     `json:"repeat"`
	Repeats    int     `json:"repeats"`
	Status     string  `json:"status"` // "run"; "stopped: " and why; "behind: " where hollow gateways could not keep up
	Revision   string  `json:"revision"`
	Begun      string  `json:"begun"`

	Point     point   `json:"point"`
	Real      int     `json:"real"`
	Hollow    int     `json:"hollow"`
	Tier      int     `json:"tier"`
	MemoryMB  int     `json:"memory_mb"`
	Known     string  `json:"known"`
	ServiceMS float64 `json:"service_ms"`
	ListBytes int     `json:"list_bytes"`

	ReadyMS        float64        `json:"ready_ms,omitempty"`      // from the first start until the last gateway is ready
	StartPeakMB    []float64      `json:"start_peak_mb,omitempty"` // of each gateway
	Idle           *phaseFigures  `json:"idle,omitempty"`
	Control        *phaseFigures  `json:"control,omitempty"`
	Load           *phaseFigures  `json:"load,omitempty"`
	MembersChanged int            `json:"members_changed"`
	Bare           *addedFigures  `json:"bare,omitempty"` // what the stand-ins add to each other without a gateway
	Added          *addedFigures  `json:"added,omitempty"`
	ChangeMS       []float64      `json:"change_ms,omitempty"` // of each change, until the last gateway acts on it
	SIGHUP         *hangUpFigures `json:"sighup,omitempty"`

	Answers            answers        `json:"answers"`
	Backends           backendFigures `json:"backends"`
	Capped             ledgerFigures  `json:"capped"`
	ListsRefused       int            `json:"lists_refused"`
	GatewaysEnded      int            `json:"gateways_ended"` // that were not told to
	HollowRequests     int64          `json:"hollow_requests"`
	HollowNotesDropped int64          `json:"hollow_notes_dropped"`
	NotChecked         []string       `json:"not_checked"`
}

// phaseFigures is what the real gateways used in a phase.
type phaseFigures struct {
	Seconds        float64 `json:"seconds"`
	CPUPercent     spread  `json:"cpu_percent"`
	HeldMB         spread  `json:"held_mb"` // at the end
	PeakMB         spread  `json:"peak_mb"`
	InKBs          spread  `json:"in_kb_per_s"` // of control
	InMessages     spread  `json:"in_messages_per_s"`
	OutKBs         spread  `json:"out_kb_per_s"`
	OutMessages    spread  `json:"out_messages_per_s"`
	HollowLateMS   float64 `json:"hollow_late_ms,omitempty"`
	MachinePercent float64 `json:"machine_percent"` // of all cores, used by all on the machine
}

// addedFigures is the time that gateways added to the backends'.
type addedFigures struct {
	P50MS        float64 `json:"p50_ms"` // over all gateways
	P99MS        float64 `json:"p99_ms"`
	P50ByGateway spread  `json:"p50_by_gateway_ms"`
	P99ByGateway spread  `json:"p99_by_gateway_ms"`
	Samples      int     `json:"samples"`
}

// hangUpFigures tells how a new address of discovery was taken in.
type hangUpFigures struct {
	CalledMS     float64 `json:"called_ms"`           // until the last gateway's first call there
	ListedMS     float64 `json:"listed_ms,omitempty"` // until the last one holds the list from there
	InKBs        spread  `json:"in_kb_per_s"`         // of control, from the signal on, for two seconds or until the list is held or was refused
	ListsRefused int     `json:"lists_refused"`
	ChangeMS     float64 `json:"change_ms,omitempty"` // a change after it
	ChangeLost   bool    `json:"change_lost"`         // it did not reach all
}

// backendFigures is what the backends counted.
type backendFigures struct {
	Commands           int64   `json:"commands"`
	Connections        int64   `json:"connections"`
	Strange            int64   `json:"strange"`
	DrainingInGrace    int64   `json:"draining_in_grace"`
	DrainingAfterGrace int64   `json:"draining_after_grace"`
	DrainLastMS        float64 `json:"drain_last_ms"` // how long after a drain the last command came
}

// ledgerFigures is what reached backends for the customers that ask for more than their plan allows.
type ledgerFigures struct {
	Taken         int     `json:"taken"`          // requests, at all gateways
	BeyondQuota   int     `json:"beyond_quota"`   // which costs, and breaks no rule
	BeyondCeiling int     `json:"beyond_ceiling"` // which breaks one
	LeastCeiling  float64 `json:"least_ceiling"`  // the least that a ceiling's store held, in units
}

// spread is the least, the median and the most of some figures.
type spread struct {
	Least  float64 `json:"least"`
	Median float64 `json:"median"`
	Most   float64 `json:"most"`
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return spread{sorted[0], (sorted[(n-1)/2] + sorted[n/2]) / 2, sorted[n-1]}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }
