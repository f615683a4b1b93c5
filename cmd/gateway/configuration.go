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

// errNoConfigPath reports that the environment variable with the path of the configuration file is not set.
var errNoConfigPath = errors.New(configPathVariable + " is not set")

// readConfiguration reads the current contents of the configuration file.
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
		cfg.Ops = address // processes that share a configuration file need different addresses
	}
	return cfg, err
}
