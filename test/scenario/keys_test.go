package scenario

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/client"
)

var errNoKey = errors.New("no such key")

// keyPrefix begins a reference to a key that the verb key created.
const keyPrefix = "@"

// newKey creates a key of an instance and stores it: key NAME CALLER INSTANCE.
func newKey(d *deployment, args []string) (string, error) {
	const count = 3
	if len(args) != count || d.instances[args[2]] == nil {
		return "", errUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	list, err := client.New("key-"+args[1], nil).Instances(ctx, d.instances[args[2]].Gateway.Callers)
	if err != nil {
		return "", err
	}
	d.keys[args[0]] = list.NewKey()
	return d.keys[args[0]], nil
}

// keyNamed returns the key stored as NAME for @NAME, and any other argument unchanged.
func (d *deployment) keyNamed(argument string) (string, error) {
	name, named := strings.CutPrefix(argument, keyPrefix)
	if !named {
		return argument, nil
	}
	key, ok := d.keys[name]
	if !ok {
		return "", fmt.Errorf("%s: %w", name, errNoKey)
	}
	return key, nil
}

// backgroundCall is a call that runs concurrently with a script.
type backgroundCall struct {
	done chan struct{}
	text string
	err  error
}

// calling starts a call in the background: calling NAME, then call's arguments.
func calling(d *deployment, args []string) (string, error) {
	const least = 5
	if len(args) < least {
		return "", errUsage
	}
	background := &backgroundCall{done: make(chan struct{})}
	d.calls[args[0]] = background
	go func() {
		defer close(background.done)
		background.text, background.err = call(d, args[1:])
	}()
	return "", nil
}

// called waits for a background call and prints its result: called NAME.
func called(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.calls[args[0]] == nil {
		return "", errUsage
	}
	background := d.calls[args[0]]
	<-background.done
	return background.text, background.err
}

// atOnce sends the same call through several instances concurrently and prints the
// sorted results: atonce CALLER METHOD PATH BODY KEY INSTANCE…
func atOnce(d *deployment, args []string) (string, error) {
	const fixed = 5
	if len(args) <= fixed {
		return "", errUsage
	}
	caller, rest, instances := args[0], args[1:fixed], args[fixed:]
	texts := make([]string, len(instances))
	var running sync.WaitGroup
	for index, instance := range instances {
		running.Go(func() {
			// An incomplete answer is a result too, not a failure of the verb.
			texts[index], _ = call(d, append([]string{caller, instance}, rest...))
		})
	}
	running.Wait()
	sort.Strings(texts)
	return strings.Join(texts, "\n"), nil
}
