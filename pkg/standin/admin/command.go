package admin

import (
	"fmt"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/standin/fault"
)

// Optional arguments of the link commands.
const (
	argBoth  = "both"
	argReset = "reset"
)

// Usage lists the commands, one per line.
const Usage = `cut FROM TO [both] [reset]   stop a direction; reset closes connections
heal FROM TO [both]          open it again
delay FROM TO MS [both]      set the one-way delay
kv down | up | slow MS | lose-answers N | compact | counts
list lag MS | leaving NAME | staying NAME | remove NAME | add NAME DOMAIN [MESH]
engine NAME ok | slow X | fail N | refuse N | die-after K | stall K | cross | truncate | leave | announce | lie | no-resume | forget
service NAME ok | slow MS | fail N | refuse N | die N | stall N | leave
journal [NAME]               what ran, JSON lines
processed                    counts by failure domain and caller`

// Do executes a command.
func (c *Controls) Do(command Command) ([]any, error) {
	args := command.Args
	switch command.Verb {
	case "cut", "heal", "delay":
		return nil, c.linkCommand(command.Verb, args)
	case "kv":
		return c.keyValueCommand(args)
	case "list":
		return nil, c.listCommand(args)
	case "engine", "service":
		return nil, c.upstreamCommand(args)
	case "journal":
		return c.entries(argument(args, 0)), nil
	case "processed":
		return c.processed(), nil
	}
	return nil, &UsageError{Usage: Usage}
}

func argument(args []string, index int) string {
	if index < len(args) {
		return args[index]
	}
	return ""
}

func (c *Controls) linkCommand(verb string, args []string) error {
	if c.Network == nil {
		return ErrNotInProcess
	}
	if len(args) < 2 {
		return &UsageError{Usage: verb + " FROM TO …"}
	}
	from, to := args[0], args[1]
	if err := c.setDirection(verb, from, to, args[2:]); err != nil {
		return fmt.Errorf("%s %s %s: %w", verb, from, to, err)
	}
	if !slices.Contains(args, argBoth) {
		return nil
	}
	return c.setDirection(verb, to, from, args[2:])
}

func (c *Controls) setDirection(verb, from, to string, rest []string) error {
	switch verb {
	case "cut":
		return c.Network.Cut(from, to, slices.Contains(rest, argReset))
	case "heal":
		return c.Network.Heal(from, to)
	}
	delay, err := parseMillis(argument(rest, 0))
	if err != nil {
		return err
	}
	return c.Network.SetDelay(from, to, delay)
}

func parseMillis(text string) (time.Duration, error) {
	number := 0
	err := fault.SetCount(&number, text)
	return time.Duration(number) * time.Millisecond, err
}

func (c *Controls) keyValueCommand(args []string) ([]any, error) {
	if c.KeyValue == nil {
		return nil, ErrNotInProcess
	}
	switch argument(args, 0) {
	case "down":
		c.KeyValue.SetDown(true)
	case "up":
		c.KeyValue.SetDown(false)
	case "slow":
		delay, err := parseMillis(argument(args, 1))
		if err != nil {
			return nil, err
		}
		c.KeyValue.SetSlow(delay)
	case "lose-answers":
		number := 0
		if err := fault.SetCount(&number, argument(args, 1)); err != nil {
			return nil, err
		}
		c.KeyValue.LoseAnswers(number)
	case "compact":
		c.KeyValue.Compact()
	case "counts":
		return []any{c.KeyValue.Counts()}, nil
	default:
		return nil, &UsageError{Usage: "kv down | up | slow MS | lose-answers N | compact | counts"}
	}
	return nil, nil
}

func (c *Controls) listCommand(args []string) error {
	if c.List == nil {
		return ErrNotInProcess
	}
	name := argument(args, 1)
	switch argument(args, 0) {
	case "lag":
		lag, err := parseMillis(name)
		if err != nil {
			return err
		}
		c.List.SetLag(lag)
		return nil
	case "leaving":
		return c.markLeaving(name, true)
	case "staying":
		return c.markLeaving(name, false)
	case "remove":
		c.List.Remove(name)
		return nil
	case "add":
		c.List.Put(platform.ListedInstance{Name: name, Domain: argument(args, 2), Mesh: argument(args, 3)})
		return nil
	}
	return &UsageError{Usage: "list lag MS | leaving NAME | staying NAME | remove NAME | add NAME DOMAIN [MESH]"}
}

func (c *Controls) markLeaving(name string, leaving bool) error {
	if !c.List.MarkLeaving(name, leaving) {
		return fmt.Errorf("%s: %w", name, ErrNotInProcess)
	}
	return nil
}

func (c *Controls) upstreamCommand(args []string) error {
	if len(args) < 2 {
		return &UsageError{Usage: "engine|service NAME SWITCH [ARGUMENT]"}
	}
	upstream, ok := c.Upstreams[args[0]]
	if !ok {
		return fmt.Errorf("%s: %w", args[0], ErrNotInProcess)
	}
	return upstream.Set(args[1], argument(args, 2))
}
