package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// memoryWatch samples the memory of the processes of one gateway.
type memoryWatch struct {
	stopped chan struct{}
	peak    chan int // receives the peak in KiB when the watch has stopped
}

// watchMemory starts to sample the memory that processes use together.
func watchMemory(processes ...*gatewayProcess) *memoryWatch {
	const interval = 10 * time.Millisecond
	w := &memoryWatch{stopped: make(chan struct{}), peak: make(chan int, 1)}
	go func() {
		peak := 0
		for {
			total := 0
			for _, p := range processes {
				total += p.memoryKiB()
			}
			peak = max(peak, total)
			select {
			case <-w.stopped:
				w.peak <- peak
				return
			case <-time.After(interval):
			}
		}
	}()
	return w
}

// check stops the watch and checks that the peak was within the limit.
func (w *memoryWatch) check(t *testing.T, limits soakLimits) {
	t.Helper()
	const kibPerMB = 1 << 10
	close(w.stopped)
	peak := <-w.peak
	t.Logf("peak memory %d of %d MB", peak/kibPerMB, limits.memoryMB)
	if peak > limits.memoryMB*kibPerMB {
		t.Errorf("peak memory of %d KiB, want at most %d MB", peak, limits.memoryMB)
	}
}

// memoryKiB returns the resident memory of the process. Pages that it shares with other processes count in
// part, so that those of the program count once for all its processes.
func (p *gatewayProcess) memoryKiB() (size int) {
	usage, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", p.command.Process.Pid))
	if err != nil {
		return 0 // the process has exited
	}
	for line := range strings.Lines(string(usage)) {
		if n, _ := fmt.Sscanf(line, "Pss: %d kB", &size); n == 1 {
			return size
		}
	}
	return 0
}
