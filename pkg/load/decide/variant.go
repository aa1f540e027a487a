package decide

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// variant is a way to send work to other failure domains.
type variant struct {
	name string
	// percent is the spill rule between any two regions; 0: nothing is sent.
	percent int
	// margin is the declared spill margin; zero leaves the default.
	margin time.Duration
	// boundless makes every domain offer more than it could ever take, so that
	// credit binds nobody.
	boundless bool
}

// variants holds what is compared: nothing sent away, everything sent where it is
// predicted to end sooner, and the rules that gateways keep.
var variants = []variant{
	{name: "stay", percent: 0},
	{name: "no credit, no margin", percent: 100, margin: time.Nanosecond, boundless: true},
	{name: "no credit", percent: 100, boundless: true},
	{name: "lilacweir", percent: 100},
}

// boundlessSpare is more than any domain can take.
const boundlessSpare = 1 << 20

func (v variant) offer(pool *board.PoolDigest) {
	if v.boundless {
		pool.Spare = boundlessSpare
	}
}
