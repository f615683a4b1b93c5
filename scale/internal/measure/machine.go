package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The columns of the first line of /proc/stat behind its name that are no work, or counted in others.
const (
	idleColumn       = 3
	ioWaitColumn     = 4
	firstGuestColumn = 8
)

const (
	clockTick = time.Second / 100 // the unit of /proc/stat
	kibibyte  = 1 << 10           // bytes; the unit of /proc/meminfo and /proc/PID/status
)

// MachineCPUTime returns the time that all cores have worked, for any process.
func MachineCPUTime() (time.Duration, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	allCores, _, _ := strings.Cut(string(stat), "\n")
	ticks := int64(0)
	for column, text := range strings.Fields(allCores)[1:] {
		if column == idleColumn || column == ioWaitColumn || column >= firstGuestColumn {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("processor time: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// MachineMemory returns the memory of the machine in bytes.
func MachineMemory() (int64, error) {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	var kibibytes int64
	if _, err := fmt.Sscanf(string(info), "MemTotal: %d kB", &kibibytes); err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	return kibibytes * kibibyte, nil
}
