// Package measure reads the resource usage of processes and of the machine from Linux's /proc and clocks.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessCPUTime returns the processor time that a process has used. It reads the process's CPU clock, which
// has a resolution of nanoseconds, because /proc/PID/stat counts in steps of 10 ms.
func ProcessCPUTime(pid int) (time.Duration, error) {
	// The kernel encodes the ID of a process's clock as the inverted PID above three bits that select the
	// clock.
	const (
		clockBits  = 3
		schedClock = 2 // CPUCLOCK_SCHED: processor time as accounted by the scheduler
	)
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<clockBits|schedClock), &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is the resident memory of a process, in bytes.
type Memory struct{ Current, Peak int64 }

// minMemoryFields is the minimum number of fields in a memory line of /proc/PID/status: the name and the
// number of KiB.
const minMemoryFields = 2

// ProcessMemory returns the resident memory of a process.
func ProcessMemory(pid int) (Memory, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, fmt.Errorf("read process memory: %w", err)
	}
	var m Memory
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < minMemoryFields {
			continue
		}
		var target *int64
		switch fields[0] {
		case "VmRSS:":
			target = &m.Current
		case "VmHWM:":
			target = &m.Peak
		default:
			continue
		}
		kibibytes, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return Memory{}, fmt.Errorf("parse process memory: %w", err)
		}
		*target = kibibytes * kibibyte
	}
	return m, nil
}

// ResetPeakMemory resets the peak of a process's resident memory to its current size.
func ResetPeakMemory(pid int) error {
	const resetPeak = "5" // see clear_refs in proc(5)
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0); err != nil {
		return fmt.Errorf("reset peak memory: %w", err)
	}
	return nil
}
