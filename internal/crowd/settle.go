package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// settleTime bounds the wait for a server that reads what has arrived.
const settleTime = 10 * time.Second

// Settle waits until the server at an address has read all that has arrived at it, or will not read it.
func Settle(ctx context.Context, address string) error {
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		unread, err := unreadAt(address)
		if err != nil || unread == 0 {
			return err
		}
		if !clock.Sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return nil
}

// Fields of a line of /proc/net/tcp: the local address, and the queues of bytes to send and to read.
const (
	localField  = 1
	queuesField = 4
)

// unreadAt returns the bytes that the connections of a server have received and that it has not read.
func unreadAt(address string) (int64, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, fmt.Errorf("unread bytes: %w", err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, fmt.Errorf("unread bytes: %w", err)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("unread bytes: %w", err)
	}
	local, total := fmt.Sprintf(":%04X", number), int64(0)
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queuesField || !strings.HasSuffix(fields[localField], local) {
			continue
		}
		_, queue, _ := strings.Cut(fields[queuesField], ":")
		unread, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("unread bytes: %w", err)
		}
		total += unread
	}
	return total, nil
}
