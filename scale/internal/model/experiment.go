package model

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
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
	minBackends      = 2
	maxBackends      = 120_000
	maxRequests      = 2_000.0
	maxServiceTime   = time.Second
	maxPhase         = time.Minute
	maxSteps         = 20
	maxReplicaCounts = 10

	backendsPerChange = 2 // at least, for a change a second
)

// What an experiment has where its file does not state it.
const (
	defaultRepeats           = 1
	defaultRealGateways      = 4
	defaultSimulatedRequests = 1 // a second
	defaultServiceTime       = 10 * time.Millisecond
	defaultMemoryMB          = 256
	defaultSteps             = 3
	defaultIdle              = 3 * time.Second
	defaultControl           = 5 * time.Second
	defaultLoad              = 5 * time.Second

	defaultBackends = 46
	defaultChanges  = 1  // a second
	defaultRequests = 86 // a second, at each real gateway
)

// defaultReplicaCounts are the sizes of replica sets where an experiment states none.
var defaultReplicaCounts = []int{2, 3, 4}

// defaultBase is the tier of today: what an experiment does not state of its base.
var defaultBase = Point{
	Backends: defaultBackends, Gateways: defaultRealGateways,
	Changes: defaultChanges, Requests: defaultRequests,
}

// quotaRequestTimeout is how long a real gateway waits for a coordinator's answer under the settings:
// simulated gateways that are later than that no longer stand for real ones.
const quotaRequestTimeout = 100 * time.Millisecond

// ReadExperiment reads and checks an experiment file. Its errors name the key that is wrong.
func ReadExperiment(path string) (*Experiment, error) {
	e := &Experiment{
		Repeats: defaultRepeats, RealGateways: defaultRealGateways, Known: KnownList,
		ReplicaCounts: slices.Clone(defaultReplicaCounts), SimulatedRequests: defaultSimulatedRequests,
		MaxSimulatedDelay: quotaRequestTimeout, ServiceTime: defaultServiceTime, MemoryMB: defaultMemoryMB,
		Idle: defaultIdle, Control: defaultControl, Load: defaultLoad, Steps: defaultSteps,
		Base: defaultBase,
	}
	meta, err := toml.DecodeFile(path, e)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("experiment %s: %s: %w", path, unknown[0], errUnknownKey)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	return e, nil
}

// check returns a *KeyError for the first key with which nothing can be run.
func (e *Experiment) check() error {
	if err := cmp.Or(e.checkSeries(), e.checkParameters(), e.checkPhases()); err != nil {
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
	if e.Name == "" {
		return fmt.Errorf("name: %w", errMissing)
	}
	if err := CheckRange("sizes", len(e.Sizes), 1, maxSizes); err != nil {
		return err
	}
	if len(e.Labels) > 0 && len(e.Labels) != len(e.Sizes) {
		value := fmt.Sprintf("%d for %d sizes", len(e.Labels), len(e.Sizes))
		return keyError("labels", value, "one for each or none")
	}
	return CheckRange("repeats", e.Repeats, 1, maxRepeats)
}

// checkParameters checks what all runs have in common.
func (e *Experiment) checkParameters() error {
	return cmp.Or(
		CheckRange("real", e.RealGateways, 1, maxRealGateways),
		e.checkKnown(),
		CheckRange("spreads", len(e.ReplicaCounts), 1, maxReplicaCounts),
		CheckRange("hollow_requests", e.SimulatedRequests, 0, maxRequests),
		checkPositive("service", e.ServiceTime, maxServiceTime),
		e.checkMemory(),
		CheckRange("steps", e.Steps, 0, maxSteps),
	)
}

// checkKnown checks the word for the last known list.
func (e *Experiment) checkKnown() error {
	if e.Known == KnownList || e.Known == KnownEmpty {
		return nil
	}
	return keyError("known", strconv.Quote(e.Known), KnownList+" or "+KnownEmpty)
}

// checkMemory checks the memory limit. The machine bounds it, which the run watches.
func (e *Experiment) checkMemory() error {
	if e.MemoryMB >= 1 {
		return nil
	}
	return keyError("memory_mb", e.MemoryMB, "above 0")
}

// checkPhases checks the lengths of the phases and the delay that is allowed in them.
func (e *Experiment) checkPhases() error {
	return cmp.Or(
		checkPositive("idle", e.Idle, maxPhase),
		checkPositive("control", e.Control, maxPhase),
		checkPositive("load", e.Load, maxPhase),
		checkPositive("hollow_late", e.MaxSimulatedDelay, maxPhase),
	)
}

// checkPoint checks the sizes of one run.
func (e *Experiment) checkPoint(p Point) error {
	tier := e.Tier(p)
	if err := cmp.Or(
		CheckRange("backends", p.Backends, minBackends, maxBackends),
		e.checkGateways(p, tier),
		checkChanges(p),
		checkPositive("requests", p.Requests, maxRequests),
	); err != nil {
		return err
	}
	for _, count := range e.ReplicaCounts {
		if count < 1 || count > tier {
			return keyError("spreads", count, fmt.Sprintf("1 to the tier's %d", tier))
		}
	}
	return nil
}

// checkGateways checks the number of live gateways, the real ones among them.
func (e *Experiment) checkGateways(p Point, tier int) error {
	if p.Gateways >= e.RealGateways && p.Gateways <= maxGateways && p.Gateways <= tier {
		return nil
	}
	wanted := fmt.Sprintf("at least the real %d and up to the tier's %d and %d",
		e.RealGateways, tier, maxGateways)
	return keyError("gateways", p.Gateways, wanted)
}

// checkChanges checks the rate of changes: the backends that change at a time have to be ready before.
func checkChanges(p Point) error {
	if p.Changes > 0 && p.Changes <= float64(p.Backends)/backendsPerChange {
		return nil
	}
	return keyError("changes", p.Changes, fmt.Sprintf("above 0 and up to half of %d backends", p.Backends))
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
		return p, keyError(fmt.Sprintf("sizes[%d]", i), size, "a whole number")
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
		wanted := fmt.Sprintf("%s, %s, %s or %s", AxisBackends, AxisGateways, AxisChanges, AxisRequests)
		return p, keyError("axis", strconv.Quote(e.Axis), wanted)
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
