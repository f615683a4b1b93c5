package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The columns of the first line of /proc/stat, counted after its label, that are not busy time or are already
// included in other columns: guest times are part of user and nice time.
const (
	idleColumn       = 3
	ioWaitColumn     = 4
	firstGuestColumn = 8
)

const (
	clockTick = time.Second / 100 // the unit of times in /proc/stat
	kibibyte  = 1 << 10           // bytes; the unit of /proc/meminfo and /proc/PID/status
)

// MachineCPUTime returns the busy time of all cores since boot, for all processes.
func MachineCPUTime() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("read machine processor time: %w", err)
	}
	allCores, _, _ := strings.Cut(string(stat), "\n")
	ticks := int64(0)
	for column, text := range strings.Fields(allCores)[1:] {
		if column == idleColumn || column == ioWaitColumn || column >= firstGuestColumn {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("parse /proc/stat: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// MachineMemory returns the total memory of the machine in bytes.
func MachineMemory() (int64, error) {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("read machine memory: %w", err)
	}
	var kibibytes int64
	if _, err := fmt.Sscanf(string(info), "MemTotal: %d kB", &kibibytes); err != nil {
		return 0, fmt.Errorf("parse /proc/meminfo: %w", err)
	}
	return kibibytes * kibibyte, nil
}
