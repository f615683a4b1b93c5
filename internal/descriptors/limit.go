package descriptors

import (
	"fmt"
	"log/slog"
	"math"
	"syscall"

	"sparspread/internal/config"
)

// ProcessLimit returns how many descriptors the process may open, and an error if those are too few for a
// gateway.
func ProcessLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32, nil // unknown: the configuration's number holds
	}
	if limit.Cur < config.MinSockets {
		return 0, fmt.Errorf("limit of open files: %d, at least %d wanted", limit.Cur, config.MinSockets)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// Usable returns how many descriptors the configuration and the process's limit allow together, and logs
// if the process may open fewer than configured.
func Usable(cfg *config.Config, log *slog.Logger) int {
	if cfg.DescriptorLimit == 0 || cfg.DescriptorLimit >= cfg.Sockets {
		return cfg.Sockets
	}
	log.Warn("fewer descriptors than configured",
		"limits.sockets", cfg.Sockets, "limit_of_open_files", cfg.DescriptorLimit)
	return cfg.DescriptorLimit
}
