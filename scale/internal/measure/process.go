// Package measure reads what processes and the machine use, from Linux's /proc and clocks.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessCPUTime returns the processor time that a process has used. Its clock counts nanoseconds, where
// /proc/PID/stat counts in steps of 10 ms.
func ProcessCPUTime(pid int) (time.Duration, error) {
	// As the kernel encodes a process's clock: the inverted PID above three bits that choose the clock.
	const (
		clockBits  = 3
		schedClock = 2 // CPUCLOCK_SCHED, the time that the scheduler accounts
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

// ProcessMemory returns the memory that a process holds.
func ProcessMemory(pid int) (Memory, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, fmt.Errorf("memory: %w", err)
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
			return Memory{}, fmt.Errorf("memory: %w", err)
		}
		*target = kibibytes * kibibyte
	}
	return m, nil
}

// ResetPeakMemory has the peak of a process's memory count from now on.
func ResetPeakMemory(pid int) error {
	const resetPeak = "5" // see clear_refs in proc(5)
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	return nil
}
