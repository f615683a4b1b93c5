package gateway

import (
	"runtime/debug"

	"sparspread/internal/config"
)

// heapLimitFraction is the soft limit of the heap as a fraction of the configured memory. Near the limit
// the garbage collector runs more often. The rest of the memory is for stacks, for memory that the
// collector does not manage, and for allocations while it runs.
const heapLimitFraction = 2.0 / 3

// Number of processes of a gateway. There are two during a handover.
const (
	oneProcess   = 1
	twoProcesses = 2
)

// limitMemory sets the soft limit of the heap for one of the processes that share the configured memory.
func limitMemory(cfg *config.Config, processes int) {
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB*bytesPerMB) * heapLimitFraction / float64(processes)))
}
