package decide

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// variant is a set of rules for spilling work to other failure domains.
type variant struct {
	name string
	// percent is the spill rule between any two regions; zero disables spill.
	percent int
	// margin is the declared spill margin; zero leaves the default.
	margin time.Duration
	// unlimitedCredit makes every domain advertise more spare capacity than it could
	// ever have, so that credit limits no sender.
	unlimitedCredit bool
}

// variants holds the rules under comparison: no spill, spill wherever a request is
// predicted to complete sooner, and the rules of the gateways.
var variants = []variant{
	{name: "stay", percent: 0},
	{name: "no credit, no margin", percent: 100, margin: time.Nanosecond, unlimitedCredit: true},
	{name: "no credit", percent: 100, unlimitedCredit: true},
	{name: "lilacweir", percent: 100},
}

// unlimitedSpare exceeds the capacity of any domain.
const unlimitedSpare = 1 << 20

func (v variant) advertise(pool *board.PoolDigest) {
	if v.unlimitedCredit {
		pool.Spare = unlimitedSpare
	}
}
