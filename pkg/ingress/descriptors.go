package ingress

import "syscall"

// manyDescriptors stands for a number of descriptors that is unknown or not limited.
const manyDescriptors = 1 << 20

// Descriptors returns the number of descriptors that the system grants the process.
func Descriptors() int {
	var granted syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &granted); err != nil {
		return manyDescriptors
	}
	return int(min(granted.Cur, manyDescriptors))
}

// ClientDescriptors returns the part of a process's descriptors that the connections of its busiest port may take.
// The other ports may have as many together; the rest is for the process's own connections and files.
func ClientDescriptors(all int) int { return all * 2 / 5 }
