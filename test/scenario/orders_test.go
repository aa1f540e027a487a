package scenario

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/order"
	"github.com/lilacweir/lilacweir/pkg/standin"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// errNoLeaseHolder means that no agent of the domain has acquired the order lease.
var errNoLeaseHolder = errors.New("no agent has acquired the order lease")

var leaseTaken = regexp.MustCompile(`event=order-lease-taken .*revision=([0-9]+)`)

// holder defines a name for the agent that acquired a domain's order lease last, and
// prints the agent: holder NAME DOMAIN.
func holder(d *deployment, args []string) (string, error) {
	const count = 2
	if len(args) != count {
		return "", errUsage
	}
	found, err := d.find(args[1])
	if err != nil {
		return "", err
	}
	newest := -1
	for _, p := range found {
		data, err := os.ReadFile(p.log)
		if err != nil {
			return "", fmt.Errorf("holder: %w", err)
		}
		for _, match := range leaseTaken.FindAllSubmatch(data, -1) {
			revision, err := strconv.Atoi(string(match[1]))
			if err == nil && revision > newest {
				newest, d.processes[args[0]] = revision, p
			}
		}
	}
	if newest < 0 {
		return "", errNoLeaseHolder
	}
	return "holder=" + d.processes[args[0]].name, nil
}

// orders counts the orders that the engines of a domain, or of "all", have accepted:
// orders DOMAIN. fallen counts orders that took effect after one of the same domain
// with a higher fencing number, over-rate the pairs of weight loads closer together
// than the weight store permits. The rest counts engines by the version of their last
// order.
func orders(d *deployment, args []string) (string, error) {
	if len(args) != 1 {
		return "", errUsage
	}
	entries, err := adminEntries[journal.Entry](d, "journal")
	if err != nil {
		return "", err
	}
	settings, err := standin.Load(d.file("standin.yaml"))
	if err != nil {
		return "", err
	}
	var taken []journal.Entry
	refused := 0
	for _, entry := range entries {
		switch {
		case entry.Kind != journal.KindOrder || (entry.Domain != args[0] && args[0] != "all"):
		case entry.Result == journal.ResultRefused:
			refused++
		default:
			taken = append(taken, entry)
		}
	}
	spacing := time.Duration(float64(time.Minute) / settings.Platform.Weights.LoadsPerMinute)
	return fmt.Sprintf("orders=%d refused=%d fallen=%d over-rate=%d %s",
		len(taken), refused, fallen(taken), overRate(taken, spacing), latest(taken)), nil
}

func fallen(taken []journal.Entry) int {
	count := 0
	highest := make(map[string]int64)
	for _, entry := range taken {
		if entry.Fence < highest[entry.Domain] {
			count++
		}
		highest[entry.Domain] = max(highest[entry.Domain], entry.Fence)
	}
	return count
}

// overRate allows each order FlightMargin to arrive after the store granted its load.
func overRate(taken []journal.Entry, spacing time.Duration) int {
	count := 0
	for i := range taken {
		for j := i + 1; j < len(taken); j++ {
			if taken[j].Started.Sub(taken[i].Started)+order.FlightMargin < time.Duration(j-i)*spacing {
				count++
			}
		}
	}
	return count
}

func latest(taken []journal.Entry) string {
	version := make(map[string]string)
	for _, entry := range taken {
		version[entry.Upstream] = entry.Version
	}
	engines := make(map[string]int)
	for _, last := range version {
		engines[last]++
	}
	var parts []string
	for name, number := range engines {
		parts = append(parts, fmt.Sprintf("%s=%d", name, number))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
