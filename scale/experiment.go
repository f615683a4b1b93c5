package main

import (
	"fmt"
	"math"
	"time"

	"github.com/BurntSushi/toml"
)

// The axes: what grows while all else stays as it is.
const (
	axisBackends = "backends" // in discovery's list
	axisGateways = "gateways" // live ones in the tier, hollow ones included
	axisChanges  = "changes"  // members whose phase changes, a second
	axisRequests = "requests" // a second at each real gateway
)

// point is a size of everything.
type point struct {
	Backends int     `toml:"backends" json:"backends"`
	Gateways int     `toml:"gateways" json:"gateways"`
	Changes  float64 `toml:"changes" json:"changes_per_s"`
	Requests float64 `toml:"requests" json:"requests_per_s"`
}

// experiment is one axis at some sizes.
type experiment struct {
	Name    string    `toml:"name"`
	Axis    string    `toml:"axis"`
	Sizes   []float64 `toml:"sizes"`
	Labels  []string  `toml:"labels"` // of the sizes; none: the numbers
	Target  float64   `toml:"target"` // the size that the tier is meant for; worked out where it was not run
	Repeats int       `toml:"repeats"`
	Real    int       `toml:"real"` // gateways that are processes
	Tier    int       `toml:"tier"` // gateways that the settings name, the rest silent; 0: the live ones
	Base    point     `toml:"base"` // all but the axis

	Known          string        `toml:"known"` // "list": the configuration holds the list; "empty": it holds none
	Spreads        []int         `toml:"spreads"`
	HollowRequests float64       `toml:"hollow_requests"` // a second at each hollow gateway
	HollowLate     time.Duration `toml:"hollow_late"`     // by so much hollow gateways may be late, else the result stands for nothing
	Service        time.Duration `toml:"service"`         // of a backend
	MemoryMB       int           `toml:"memory_mb"`       // limit that the gateways are told
	Idle           time.Duration `toml:"idle"`
	Control        time.Duration `toml:"control"`
	Load           time.Duration `toml:"load"`
	Steps          int           `toml:"steps"` // changes whose way to the last gateway is timed
}

// The bounds of an experiment: it shares its machine with others.
const (
	mostSizes    = 10
	mostRepeats  = 10
	mostReal     = 24
	mostGateways = 8_000 // each hollow one holds a socket
	mostBackends = 120_000
	mostRequests = 2_000.0
	mostPhase    = time.Minute
	mostSteps    = 20
	mostSpreads  = 10
)

// askWait is how long a real gateway waits for a home's answer under the settings: hollow ones that are
// later than that no longer stand for real ones.
const askWait = 100 * time.Millisecond

func readExperiment(path string) (*experiment, error) {
	e := &experiment{
		Repeats: 1, Real: 4, Known: "list", Spreads: []int{2, 3, 4}, HollowRequests: 1,
		HollowLate: askWait, Service: 10 * time.Millisecond, MemoryMB: 256, Steps: 3,
		Idle: 3 * time.Second, Control: 5 * time.Second, Load: 5 * time.Second,
		Base: point{Backends: 46, Gateways: 4, Changes: 1, Requests: 86},
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

func (e *experiment) check() error {
	switch {
	case e.Name == "":
		return fmt.Errorf("name: missing")
	case len(e.Sizes) == 0 || len(e.Sizes) > mostSizes:
		return fmt.Errorf("sizes: %d, 1 to %d wanted", len(e.Sizes), mostSizes)
	case len(e.Labels) > 0 && len(e.Labels) != len(e.Sizes):
		return fmt.Errorf("labels: %d for %d sizes", len(e.Labels), len(e.Sizes))
	case e.Repeats < 1 || e.Repeats > mostRepeats:
		return fmt.Errorf("repeats: %d, 1 to %d wanted", e.Repeats, mostRepeats)
	case e.Real < 1 || e.Real > mostReal:
		return fmt.Errorf("real: %d, 1 to %d wanted", e.Real, mostReal)
	case e.Known != "list" && e.Known != "empty":
		return fmt.Errorf("known: %q, list or empty wanted", e.Known)
	case len(e.Spreads) == 0 || len(e.Spreads) > mostSpreads:
		return fmt.Errorf("spreads: %d, 1 to %d wanted", len(e.Spreads), mostSpreads)
	case e.HollowRequests < 0 || e.HollowRequests > mostRequests:
		return fmt.Errorf("hollow_requests: %g, 0 to %g wanted", e.HollowRequests, mostRequests)
	case e.Service <= 0 || e.Service > time.Second:
		return fmt.Errorf("service: %v, above 0 and up to 1s wanted", e.Service)
	case e.MemoryMB < 1:
		return fmt.Errorf("memory_mb: %d, above 0 wanted", e.MemoryMB)
	case e.Steps < 0 || e.Steps > mostSteps:
		return fmt.Errorf("steps: %d, 0 to %d wanted", e.Steps, mostSteps)
	}
	for name, d := range map[string]time.Duration{"idle": e.Idle, "control": e.Control, "load": e.Load, "hollow_late": e.HollowLate} {
		if d <= 0 || d > mostPhase {
			return fmt.Errorf("%s: %v, above 0 and up to %v wanted", name, d, mostPhase)
		}
	}
	for i := range e.Sizes {
		p, err := e.at(i)
		if err != nil {
			return err
		}
		if err := e.checkPoint(p); err != nil {
			return fmt.Errorf("sizes[%d]: %w", i, err)
		}
	}
	return nil
}

func (e *experiment) checkPoint(p point) error {
	switch {
	case p.Backends < 2 || p.Backends > mostBackends:
		return fmt.Errorf("backends: %d, 2 to %d wanted", p.Backends, mostBackends)
	case p.Gateways < e.Real || p.Gateways > mostGateways || p.Gateways > e.tier(p):
		return fmt.Errorf("gateways: %d, at least the real %d and up to the tier's %d and %d wanted",
			p.Gateways, e.Real, e.tier(p), mostGateways)
	case p.Changes <= 0 || p.Changes > float64(p.Backends)/2:
		return fmt.Errorf("changes: %g, above 0 and up to half of %d backends wanted", p.Changes, p.Backends)
	case p.Requests <= 0 || p.Requests > mostRequests:
		return fmt.Errorf("requests: %g, above 0 and up to %g wanted", p.Requests, mostRequests)
	}
	for _, s := range e.Spreads {
		if s < 1 || s > e.tier(p) {
			return fmt.Errorf("spreads: %d, 1 to the tier's %d wanted", s, e.tier(p))
		}
	}
	return nil
}

// tier is how many gateways the settings name.
func (e *experiment) tier(p point) int {
	if e.Tier > 0 {
		return e.Tier
	}
	return p.Gateways
}

// at gives the sizes of everything at a place of the axis.
func (e *experiment) at(i int) (point, error) {
	p, size := e.Base, e.Sizes[i]
	if whole := e.Axis == axisBackends || e.Axis == axisGateways; whole && size != math.Trunc(size) {
		return p, fmt.Errorf("sizes[%d]: %g, a whole number wanted", i, size)
	}
	switch e.Axis {
	case axisBackends:
		p.Backends = int(size)
	case axisGateways:
		p.Gateways = int(size)
	case axisChanges:
		p.Changes = size
	case axisRequests:
		p.Requests = size
	default:
		return p, fmt.Errorf("axis: %q, %s, %s, %s or %s wanted", e.Axis, axisBackends, axisGateways, axisChanges, axisRequests)
	}
	return p, nil
}

func (e *experiment) label(i int) string {
	if len(e.Labels) > 0 {
		return e.Labels[i]
	}
	return ""
}
