package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process holds.
type Usage struct {
	// PeakMemory is the largest resident memory since its start, in bytes.
	PeakMemory int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// peakField is the field of /proc/PID/status that holds the peak, in KiB.
const peakField = "VmHWM:"

// UsageOf reads the usage of a process from /proc.
func UsageOf(pid int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("memory: %w", err)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("descriptors: %w", err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		text, found := strings.CutPrefix(lines.Text(), peakField)
		if !found {
			continue
		}
		peak, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("memory: %w", err)
		}
		return Usage{PeakMemory: peak << 10, Descriptors: len(descriptors)}, nil
	}
	return Usage{}, fmt.Errorf("memory: %s: %w", peakField, os.ErrNotExist)
}
