package main

import (
	"errors"
	"fmt"
	"os"

	"sparspread/internal/config"
)

// The environment variables that the program reads.
const (
	configPathVariable = "RELAY_CONFIG"
	opsAddressVariable = "RELAY_OPS"
)

// errNoConfigPath says that the environment does not name the file.
var errNoConfigPath = errors.New(configPathVariable + " is not set")

// readConfiguration reads the configuration as its file is now.
func readConfiguration() (config.Config, error) {
	path := os.Getenv(configPathVariable)
	if path == "" {
		return config.Config{}, fmt.Errorf("configuration: %w", errNoConfigPath)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return config.Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := config.Parse(raw)
	if address := os.Getenv(opsAddressVariable); address != "" {
		cfg.Ops = address // processes that share one file each have an address of their own
	}
	return cfg, err
}
