package scenario

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/lilacweir/lilacweir/pkg/client"
)

// separatePort is the first admin port of upstreams with a process of their own.
const separatePort = 7100

// runSeparately runs the named upstreams in one process each, so that a script can kill
// it. The process has the upstream's name, and its journal is lost when it exits.
func (d *deployment) runSeparately(names []string) error {
	if len(names) == 0 {
		return nil
	}
	declaration, err := d.declaration()
	if err != nil {
		return err
	}
	own := make(map[string]bool)
	for index, name := range names {
		own[name] = true
		d.add(name, "lilacweir-standin", "standin.yaml")
		p := d.processes[name]
		p.admin = fmt.Sprintf("127.%d.0.1:%d", d.number, separatePort+index)
		p.args = append(p.args, "--only", "upstreams", "--upstream", name, "--admin", p.admin)
	}
	rest := d.processes["standin"]
	for _, upstream := range declaration.Upstreams {
		if !own[upstream.Name] {
			rest.args = append(rest.args, "--upstream", upstream.Name)
		}
	}
	return nil
}

// startSeparate starts the upstreams with a process of their own.
func (d *deployment) startSeparate() error {
	for name, p := range d.processes {
		if p.admin == "" {
			continue
		}
		if err := d.start(name); err != nil {
			return err
		}
	}
	return nil
}

// backgroundChat is a chat request that runs concurrently with a script.
type backgroundChat struct {
	done   chan struct{}
	chunks atomic.Int64
	answer *client.Answer
	err    error
}

// asking starts a chat request in the background: asking NAME, then ask's arguments.
func asking(d *deployment, args []string) (string, error) {
	if len(args) == 0 {
		return "", errUsage
	}
	background := &backgroundChat{done: make(chan struct{})}
	d.chats[args[0]] = background
	go func() {
		defer close(background.done)
		background.answer, background.err = chat(context.Background(), d, args[1:], func(string) { background.chunks.Add(1) })
	}()
	return "", nil
}

// streamed prints the number of chunks received so far: streamed NAME.
func streamed(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.chats[args[0]] == nil {
		return "", errUsage
	}
	return fmt.Sprintf("chunks=%d", d.chats[args[0]].chunks.Load()), nil
}

// asked waits for a background answer and prints only its text: asked NAME.
func asked(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.chats[args[0]] == nil {
		return "", errUsage
	}
	background := d.chats[args[0]]
	<-background.done
	return textOf(background.answer, background.err)
}
