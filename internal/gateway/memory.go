package gateway

import (
	"runtime/debug"

	"sparspread/internal/config"
)

// heapLimitFraction is the part of the configured memory at which the garbage collector runs more often. The
// rest is for stacks, for what the collector can't see, and for what is allocated while it runs.
const heapLimitFraction = 2.0 / 3

// The number of processes of a gateway: two during a handover.
const (
	oneProcess   = 1
	twoProcesses = 2
)

// limitMemory sets the heap's soft limit for one of several processes that share the configured memory.
func limitMemory(cfg *config.Config, processes int) {
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB*bytesPerMB) * heapLimitFraction / float64(processes)))
}
