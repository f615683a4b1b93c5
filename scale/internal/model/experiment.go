package model

import (
	"fmt"
	"math"
	"time"

	"github.com/BurntSushi/toml"
)

// The axes: what grows from size to size while all else stays as it is.
const (
	AxisBackends = "backends" // backends in discovery's list
	AxisGateways = "gateways" // live gateways in the tier, simulated ones included
	AxisChanges  = "changes"  // backends whose phase changes, per second
	AxisRequests = "requests" // requests per second at each real gateway
)

// What the configuration of a gateway holds as the last known list.
const (
	KnownList  = "list"  // all backends
	KnownEmpty = "empty" // none
)

// Point is the size of everything in one run.
type Point struct {
	Backends int     `toml:"backends" json:"backends"`
	Gateways int     `toml:"gateways" json:"gateways"`
	Changes  float64 `toml:"changes" json:"changes_per_s"`
	Requests float64 `toml:"requests" json:"requests_per_s"`
}

// Experiment is a series of runs that differ in one size. Its keys call simulated gateways hollow.
type Experiment struct {
	Name         string    `toml:"name"`
	Axis         string    `toml:"axis"`
	Sizes        []float64 `toml:"sizes"`
	Labels       []string  `toml:"labels"` // of the sizes; empty: the numbers
	Target       float64   `toml:"target"` // the size to extrapolate to where it was not run; 0: none
	Repeats      int       `toml:"repeats"`
	RealGateways int       `toml:"real"` // gateways that are processes
	TierSize     int       `toml:"tier"` // gateways in the settings; 0: the live ones; silent beyond them
	Base         Point     `toml:"base"` // the sizes of all but the axis

	Known             string        `toml:"known"`
	ReplicaCounts     []int         `toml:"spreads"`         // size of a customer's replica set, by kind
	SimulatedRequests float64       `toml:"hollow_requests"` // per second at each simulated gateway
	MaxSimulatedDelay time.Duration `toml:"hollow_late"`     // beyond it the result is not valid
	ServiceTime       time.Duration `toml:"service"`         // of a backend
	MemoryMB          int           `toml:"memory_mb"`       // limit in the gateways' configuration
	Idle              time.Duration `toml:"idle"`            // length of the phase without both
	Control           time.Duration `toml:"control"`         // length of the phase with changes
	Load              time.Duration `toml:"load"`            // length of the phase with changes and requests
	Steps             int           `toml:"steps"`           // changes whose propagation is timed
}

// The bounds of an experiment, which shares its machine with others.
const (
	maxSizes         = 10
	maxRepeats       = 10
	maxRealGateways  = 24
	maxGateways      = 8_000 // each simulated one holds a socket
	maxBackends      = 120_000
	maxRequests      = 2_000.0
	maxServiceTime   = time.Second
	maxPhase         = time.Minute
	maxSteps         = 20
	maxReplicaCounts = 10
)

// quotaRequestTimeout is how long a real gateway waits for a coordinator's answer under the settings:
// simulated gateways that are later than that no longer stand for real ones.
const quotaRequestTimeout = 100 * time.Millisecond

// ReadExperiment reads and checks an experiment file. Its errors name the key that is wrong.
func ReadExperiment(path string) (*Experiment, error) {
	e := &Experiment{
		Repeats: 1, RealGateways: 4, Known: KnownList, ReplicaCounts: []int{2, 3, 4}, SimulatedRequests: 1,
		MaxSimulatedDelay: quotaRequestTimeout, ServiceTime: 10 * time.Millisecond, MemoryMB: 256, Steps: 3,
		Idle: 3 * time.Second, Control: 5 * time.Second, Load: 5 * time.Second,
		Base: Point{Backends: 46, Gateways: 4, Changes: 1, Requests: 86},
	}
	meta, err := toml.DecodeFile(path, e)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("experiment %s: %s: no such key", path, unknown[0])
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	return e, nil
}

func (e *Experiment) check() error {
	if err := e.checkSeries(); err != nil {
		return err
	}
	if err := e.checkParameters(); err != nil {
		return err
	}
	if err := e.checkPhases(); err != nil {
		return err
	}
	for i := range e.Sizes {
		point, err := e.PointAt(i)
		if err != nil {
			return err
		}
		if err := e.checkPoint(point); err != nil {
			return fmt.Errorf("sizes[%d]: %w", i, err)
		}
	}
	return nil
}

// checkSeries checks what the runs are.
func (e *Experiment) checkSeries() error {
	switch {
	case e.Name == "":
		return fmt.Errorf("name: missing")
	case len(e.Sizes) == 0 || len(e.Sizes) > maxSizes:
		return fmt.Errorf("sizes: %d, 1 to %d wanted", len(e.Sizes), maxSizes)
	case len(e.Labels) > 0 && len(e.Labels) != len(e.Sizes):
		return fmt.Errorf("labels: %d for %d sizes", len(e.Labels), len(e.Sizes))
	case e.Repeats < 1 || e.Repeats > maxRepeats:
		return fmt.Errorf("repeats: %d, 1 to %d wanted", e.Repeats, maxRepeats)
	}
	return nil
}

// checkParameters checks what all runs have in common.
func (e *Experiment) checkParameters() error {
	switch {
	case e.RealGateways < 1 || e.RealGateways > maxRealGateways:
		return fmt.Errorf("real: %d, 1 to %d wanted", e.RealGateways, maxRealGateways)
	case e.Known != KnownList && e.Known != KnownEmpty:
		return fmt.Errorf("known: %q, %s or %s wanted", e.Known, KnownList, KnownEmpty)
	case len(e.ReplicaCounts) == 0 || len(e.ReplicaCounts) > maxReplicaCounts:
		return fmt.Errorf("spreads: %d, 1 to %d wanted", len(e.ReplicaCounts), maxReplicaCounts)
	case e.SimulatedRequests < 0 || e.SimulatedRequests > maxRequests:
		return fmt.Errorf("hollow_requests: %g, 0 to %g wanted", e.SimulatedRequests, maxRequests)
	case e.ServiceTime <= 0 || e.ServiceTime > maxServiceTime:
		return fmt.Errorf("service: %v, above 0 and up to %v wanted", e.ServiceTime, maxServiceTime)
	case e.MemoryMB < 1:
		return fmt.Errorf("memory_mb: %d, above 0 wanted", e.MemoryMB)
	case e.Steps < 0 || e.Steps > maxSteps:
		return fmt.Errorf("steps: %d, 0 to %d wanted", e.Steps, maxSteps)
	}
	return nil
}

func (e *Experiment) checkPhases() error {
	for _, phase := range []struct {
		key    string
		length time.Duration
	}{{"idle", e.Idle}, {"control", e.Control}, {"load", e.Load}, {"hollow_late", e.MaxSimulatedDelay}} {
		if phase.length <= 0 || phase.length > maxPhase {
			return fmt.Errorf("%s: %v, above 0 and up to %v wanted", phase.key, phase.length, maxPhase)
		}
	}
	return nil
}

func (e *Experiment) checkPoint(p Point) error {
	tier := e.Tier(p)
	switch {
	case p.Backends < 2 || p.Backends > maxBackends:
		return fmt.Errorf("backends: %d, 2 to %d wanted", p.Backends, maxBackends)
	case p.Gateways < e.RealGateways || p.Gateways > maxGateways || p.Gateways > tier:
		return fmt.Errorf("gateways: %d, at least the real %d and up to the tier's %d and %d wanted",
			p.Gateways, e.RealGateways, tier, maxGateways)
	case p.Changes <= 0 || p.Changes > float64(p.Backends)/2:
		return fmt.Errorf("changes: %g, above 0 and up to half of %d backends wanted", p.Changes, p.Backends)
	case p.Requests <= 0 || p.Requests > maxRequests:
		return fmt.Errorf("requests: %g, above 0 and up to %g wanted", p.Requests, maxRequests)
	}
	for _, count := range e.ReplicaCounts {
		if count < 1 || count > tier {
			return fmt.Errorf("spreads: %d, 1 to the tier's %d wanted", count, tier)
		}
	}
	return nil
}

// Tier returns how many gateways the settings name at a point.
func (e *Experiment) Tier(p Point) int {
	if e.TierSize > 0 {
		return e.TierSize
	}
	return p.Gateways
}

// PointAt returns the sizes of everything in the run with the given index of Sizes.
func (e *Experiment) PointAt(i int) (Point, error) {
	p, size := e.Base, e.Sizes[i]
	isWhole := size == math.Trunc(size)
	if (e.Axis == AxisBackends || e.Axis == AxisGateways) && !isWhole {
		return p, fmt.Errorf("sizes[%d]: %g, a whole number wanted", i, size)
	}
	switch e.Axis {
	case AxisBackends:
		p.Backends = int(size)
	case AxisGateways:
		p.Gateways = int(size)
	case AxisChanges:
		p.Changes = size
	case AxisRequests:
		p.Requests = size
	default:
		return p, fmt.Errorf("axis: %q, %s, %s, %s or %s wanted",
			e.Axis, AxisBackends, AxisGateways, AxisChanges, AxisRequests)
	}
	return p, nil
}

// Label returns the label of the size with the given index, empty where there is none.
func (e *Experiment) Label(i int) string {
	if len(e.Labels) > 0 {
		return e.Labels[i]
	}
	return ""
}
