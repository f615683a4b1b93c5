package descriptors

import (
	"fmt"
	"log/slog"
	"math"
	"syscall"

	"sparspread/internal/config"
)

// errTooFewFiles says how many files a gateway has to be able to open.
var errLimitTooLow = fmt.Errorf("at least %d wanted", config.MinSockets)

// ProcessLimit returns how many descriptors the process may open, and an error if those are too few for a
// gateway. A limit that can't be read is none: the configuration's number holds.
func ProcessLimit() (int, error) {
	limit, known := openFileLimit()
	if !known {
		return math.MaxInt32, nil
	}
	if limit < config.MinSockets {
		return 0, fmt.Errorf("limit of open files: %d, %w", limit, errLimitTooLow)
	}
	return int(min(limit, math.MaxInt32)), nil
}

// openFileLimit reads the soft limit of open files.
func openFileLimit() (limit uint64, known bool) {
	var rlimit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit)
	return rlimit.Cur, err == nil
}

// Usable returns how many descriptors the configuration and the process's limit allow together, and logs
// if the process may open fewer than configured.
func Usable(cfg *config.Config, log *slog.Logger) int {
	if cfg.DescriptorLimit == 0 || cfg.DescriptorLimit >= cfg.Sockets {
		return cfg.Sockets
	}
	log.Warn("fewer descriptors than configured",
		slog.Group("limits", "sockets", cfg.Sockets), "limit_of_open_files", cfg.DescriptorLimit)
	return cfg.DescriptorLimit
}
