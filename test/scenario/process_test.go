package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// exitBound bounds how long a process may take to end after SIGTERM.
const exitBound = 60 * time.Second

var (
	errRunning    = errors.New("the process runs already")
	errNotRunning = errors.New("the process does not run")
	errNoExit     = errors.New("the process did not end")
	errNotFrozen  = errors.New("a thread still runs")
)

// process is one program of a deployment, which may be started many times.
type process struct {
	// name is INSTANCE/gateway, INSTANCE/agent or standin.
	name    string
	program string
	args    []string
	// admin is the address of the switches of an upstream that runs apart.
	admin string
	// log receives what all starts write.
	log string

	command *exec.Cmd
	ended   chan struct{}
	failure error
}

func (p *process) start() error {
	if p.running() {
		return fmt.Errorf("%s: %w", p.name, errRunning)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(filepath.Join(binaries, p.program), p.args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.ended = make(chan struct{})
	go func() {
		p.failure = p.command.Wait()
		close(p.ended)
	}()
	return nil
}

func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal os.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s: %w", p.name, errNotRunning)
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// freeze stops every thread of the process with SIGSTOP. The signal acts some time
// after it was sent; until then the process may still answer.
func (p *process) freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return poll(pollBound, p.isFrozen)
}

func (p *process) isFrozen() error {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		// The state follows the program's name, which ends with a bracket.
		if _, state, _ := bytes.Cut(stat, []byte(") ")); !bytes.HasPrefix(state, []byte("T")) {
			return fmt.Errorf("%s: %w", p.name, errNotFrozen)
		}
	}
	return nil
}

// kill ends the process with SIGKILL, if it runs.
func (p *process) kill() error {
	if !p.running() {
		return nil
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// stop ends the process with SIGTERM and wants exit status 0.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.awaitExit()
}

func (p *process) awaitExit() error {
	select {
	case <-p.ended:
	case <-time.After(exitBound):
		return fmt.Errorf("%s: %w", p.name, errNoExit)
	}
	if p.failure != nil {
		return fmt.Errorf("%s: %w", p.name, p.failure)
	}
	return nil
}
