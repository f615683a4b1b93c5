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

// The axes of experiments. The runs of an experiment differ in the size on one axis only.
const (
	AxisBackends = "backends" // backends in discovery's list
	AxisGateways = "gateways" // running gateways, including the simulated ones
	AxisChanges  = "changes"  // phase changes of backends, per second
	AxisRequests = "requests" // requests per second at each real gateway
)

// The last known list of backends in a gateway's configuration.
const (
	LastKnownComplete = "list"  // the complete list
	LastKnownEmpty    = "empty" // no backends
)

// Point holds the sizes on all axes in one run.
type Point struct {
	Backends          int     `toml:"backends" json:"backends"`
	Gateways          int     `toml:"gateways" json:"gateways"`
	ChangesPerSecond  float64 `toml:"changes" json:"changes_per_s"`
	RequestsPerSecond float64 `toml:"requests" json:"requests_per_s"`
}

// Experiment is a series of runs that differ in the size on one axis. Experiment files call simulated
// gateways "hollow".
type Experiment struct {
	Name  string    `toml:"name"`
	Axis  string    `toml:"axis"`
	Sizes []float64 `toml:"sizes"`
	// Labels are the labels of the sizes. If empty, columns are headed by the sizes alone.
	Labels []string `toml:"labels"`
	// TargetSize is the size to extrapolate to if no valid run of that size exists. If 0, nothing is
	// extrapolated.
	TargetSize   float64 `toml:"target"`
	Repeats      int     `toml:"repeats"`
	RealGateways int     `toml:"real"` // gateways that run as processes
	// ConfiguredTierSize is the number of gateways in the settings; those beyond the running gateways are
	// unresponsive. If 0, the settings list the running gateways only.
	ConfiguredTierSize int   `toml:"tier"`
	Base               Point `toml:"base"` // the sizes on all other axes

	LastKnownList string `toml:"known"`   // LastKnownComplete or LastKnownEmpty
	ReplicaCounts []int  `toml:"spreads"` // sizes of replica sets, one for each kind of customer
	// SimulatedRequestsPerSecond is the request rate at each simulated gateway.
	SimulatedRequestsPerSecond float64 `toml:"hollow_requests"`
	// MaxSimulatedDelay is the longest delay of a simulated gateway with which a result is valid.
	MaxSimulatedDelay time.Duration `toml:"hollow_late"`
	ServiceTime       time.Duration `toml:"service"`   // the time that a backend takes to answer
	MemoryMB          int           `toml:"memory_mb"` // the memory limit in the gateways' configuration
	IdlePhase         time.Duration `toml:"idle"`      // length of the phase without changes and requests
	ControlPhase      time.Duration `toml:"control"`   // length of the phase with changes only
	LoadPhase         time.Duration `toml:"load"`      // length of the phase with changes and requests
	// TimedChanges is the number of backends whose removal and return are timed until all gateways know
	// of them.
	TimedChanges int `toml:"steps"`
}

// An experiment is limited to these values because it shares its machine with other work.
const (
	maxSizes             = 10
	maxRepeats           = 10
	maxRealGateways      = 24
	maxGateways          = 8_000 // each simulated gateway uses a socket
	minBackends          = 2
	maxBackends          = 120_000
	maxRequestsPerSecond = 2_000.0
	maxServiceTime       = time.Second
	maxPhaseLength       = time.Minute
	maxTimedChanges      = 20
	maxReplicaCounts     = 10

	minBackendsPerChange = 2 // a rate of one change per second needs this many backends
)

// The defaults for keys that an experiment file omits.
const (
	defaultRepeats                    = 1
	defaultRealGateways               = 4
	defaultSimulatedRequestsPerSecond = 1
	defaultServiceTime                = 10 * time.Millisecond
	defaultMemoryMB                   = 256
	defaultTimedChanges               = 3
	defaultIdlePhase                  = 3 * time.Second
	defaultControlPhase               = 5 * time.Second
	defaultLoadPhase                  = 5 * time.Second

	defaultBackends          = 46
	defaultChangesPerSecond  = 1
	defaultRequestsPerSecond = 86 // at each real gateway
)

// defaultReplicaCounts are the sizes of replica sets if an experiment file omits them.
var defaultReplicaCounts = []int{2, 3, 4}

// defaultBase holds the sizes of the present tier. They apply to the keys of the base that an
// experiment file omits.
var defaultBase = Point{
	Backends: defaultBackends, Gateways: defaultRealGateways,
	ChangesPerSecond: defaultChangesPerSecond, RequestsPerSecond: defaultRequestsPerSecond,
}

// quotaRequestTimeout is the time for which a real gateway waits for a coordinator's answer under the
// settings. Simulated gateways with a longer delay do not behave like real ones.
const quotaRequestTimeout = 100 * time.Millisecond

// ReadExperiment reads and validates an experiment file. An error names the key that is invalid.
func ReadExperiment(path string) (*Experiment, error) {
	e := &Experiment{
		Repeats: defaultRepeats, RealGateways: defaultRealGateways, LastKnownList: LastKnownComplete,
		ReplicaCounts:              slices.Clone(defaultReplicaCounts),
		SimulatedRequestsPerSecond: defaultSimulatedRequestsPerSecond,
		MaxSimulatedDelay:          quotaRequestTimeout,
		ServiceTime:                defaultServiceTime, MemoryMB: defaultMemoryMB,
		IdlePhase: defaultIdlePhase, ControlPhase: defaultControlPhase, LoadPhase: defaultLoadPhase,
		TimedChanges: defaultTimedChanges,
		Base:         defaultBase,
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

// check returns an error for the first invalid key, or nil.
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

// checkSeries checks the name, the sizes, their labels and the number of repeats.
func (e *Experiment) checkSeries() error {
	if e.Name == "" {
		return fmt.Errorf("name: %w", errMissing)
	}
	if err := CheckRange("sizes", len(e.Sizes), 1, maxSizes); err != nil {
		return err
	}
	if len(e.Labels) > 0 && len(e.Labels) != len(e.Sizes) {
		value := fmt.Sprintf("%d for %d sizes", len(e.Labels), len(e.Sizes))
		return keyError("labels", value, "one for each size, or none")
	}
	return CheckRange("repeats", e.Repeats, 1, maxRepeats)
}

// checkParameters checks the parameters that all runs share.
func (e *Experiment) checkParameters() error {
	return cmp.Or(
		CheckRange("real", e.RealGateways, 1, maxRealGateways),
		e.checkLastKnownList(),
		CheckRange("spreads", len(e.ReplicaCounts), 1, maxReplicaCounts),
		CheckRange("hollow_requests", e.SimulatedRequestsPerSecond, 0, maxRequestsPerSecond),
		checkPositive("service", e.ServiceTime, maxServiceTime),
		e.checkMemory(),
		CheckRange("steps", e.TimedChanges, 0, maxTimedChanges),
	)
}

// checkLastKnownList checks the kind of last known list.
func (e *Experiment) checkLastKnownList() error {
	if e.LastKnownList == LastKnownComplete || e.LastKnownList == LastKnownEmpty {
		return nil
	}
	return keyError("known", strconv.Quote(e.LastKnownList), LastKnownComplete+" or "+LastKnownEmpty)
}

// checkMemory checks the memory limit. It has no maximum here because the run monitors the memory of the
// machine.
func (e *Experiment) checkMemory() error {
	if e.MemoryMB >= 1 {
		return nil
	}
	return keyError("memory_mb", e.MemoryMB, "above 0")
}

// checkPhases checks the lengths of the phases and the longest delay allowed in them.
func (e *Experiment) checkPhases() error {
	return cmp.Or(
		checkPositive("idle", e.IdlePhase, maxPhaseLength),
		checkPositive("control", e.ControlPhase, maxPhaseLength),
		checkPositive("load", e.LoadPhase, maxPhaseLength),
		checkPositive("hollow_late", e.MaxSimulatedDelay, maxPhaseLength),
	)
}

// checkPoint checks the sizes of one run.
func (e *Experiment) checkPoint(p Point) error {
	tier := e.TierSize(p)
	if err := cmp.Or(
		CheckRange("backends", p.Backends, minBackends, maxBackends),
		e.checkGateways(p, tier),
		checkChanges(p),
		checkPositive("requests", p.RequestsPerSecond, maxRequestsPerSecond),
	); err != nil {
		return err
	}
	for _, count := range e.ReplicaCounts {
		if count < 1 || count > tier {
			return keyError("spreads", count, fmt.Sprintf("1 to %d, the size of the tier", tier))
		}
	}
	return nil
}

// checkGateways checks the number of running gateways, which includes the real ones.
func (e *Experiment) checkGateways(p Point, tier int) error {
	if p.Gateways >= e.RealGateways && p.Gateways <= maxGateways && p.Gateways <= tier {
		return nil
	}
	expected := fmt.Sprintf("at least %d (real gateways), at most %d (tier size) and %d",
		e.RealGateways, tier, maxGateways)
	return keyError("gateways", p.Gateways, expected)
}

// checkChanges checks the rate of phase changes: there must be enough ready backends to drain at a time.
func checkChanges(p Point) error {
	if p.ChangesPerSecond > 0 && p.ChangesPerSecond <= float64(p.Backends)/minBackendsPerChange {
		return nil
	}
	return keyError("changes", p.ChangesPerSecond,
		fmt.Sprintf("above 0 and at most half of %d backends", p.Backends))
}

// TierSize returns the number of gateways in the settings at a point.
func (e *Experiment) TierSize(p Point) int {
	if e.ConfiguredTierSize > 0 {
		return e.ConfiguredTierSize
	}
	return p.Gateways
}

// PointAt returns the sizes on all axes in the run with the given index into Sizes.
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
		p.ChangesPerSecond = size
	case AxisRequests:
		p.RequestsPerSecond = size
	default:
		expected := fmt.Sprintf("%s, %s, %s or %s", AxisBackends, AxisGateways, AxisChanges, AxisRequests)
		return p, keyError("axis", strconv.Quote(e.Axis), expected)
	}
	return p, nil
}

// Label returns the label of the size with the given index. It is empty if the size has none.
func (e *Experiment) Label(i int) string {
	if len(e.Labels) > 0 {
		return e.Labels[i]
	}
	return ""
}
