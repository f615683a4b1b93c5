package descriptors

import (
	"fmt"
	"log/slog"
	"math"
	"syscall"

	"sparspread/internal/config"
)

// errLimitTooLow means that the process may open fewer files than a gateway needs.
var errLimitTooLow = fmt.Errorf("expected at least %d", config.MinSockets)

// ProcessLimit returns how many descriptors the process may open, or an error if they are too few for a
// gateway. If the limit cannot be read, it returns math.MaxInt32, so that only the configured number applies.
func ProcessLimit() (int, error) {
	limit, known := openFileLimit()
	if !known {
		return math.MaxInt32, nil
	}
	if limit < config.MinSockets {
		return 0, fmt.Errorf("limit of open files: %d: %w", limit, errLimitTooLow)
	}
	return int(min(limit, math.MaxInt32)), nil
}

// openFileLimit returns the soft limit of open files.
func openFileLimit() (limit uint64, known bool) {
	var rlimit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit)
	return rlimit.Cur, err == nil
}

// Usable returns the lower of the configured number of descriptors and the limit of the process, if known. It
// logs a warning if the process may open fewer descriptors than configured.
func Usable(cfg *config.Config, log *slog.Logger) int {
	if cfg.DescriptorLimit == 0 || cfg.DescriptorLimit >= cfg.Sockets {
		return cfg.Sockets
	}
	log.Warn("fewer descriptors than configured",
		slog.Group("limits", "sockets", cfg.Sockets), "limit_of_open_files", cfg.DescriptorLimit)
	return cfg.DescriptorLimit
}
