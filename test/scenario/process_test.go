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

// exitTimeout bounds the exit of a process after SIGTERM, and short-lived programs.
const exitTimeout = 60 * time.Second

var (
	errRunning    = errors.New("the process is already running")
	errNotRunning = errors.New("the process is not running")
	errNoExit     = errors.New("the process did not exit in time")
	errNotFrozen  = errors.New("a thread is still running")
)

// process is one program of a deployment, which may be started repeatedly.
type process struct {
	// name is INSTANCE/gateway, INSTANCE/agent, standin or an upstream's name.
	name    string
	program string
	args    []string
	// admin is the admin address of an upstream with a process of its own.
	admin string
	// log is the file to which all starts append their output.
	log string

	command *exec.Cmd
	exited  chan struct{}
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
	p.exited = make(chan struct{})
	go func() {
		p.failure = p.command.Wait()
		close(p.exited)
	}()
	return nil
}

func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
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

// freeze stops every thread of the process with SIGSTOP and waits until all have
// stopped, because the process may still answer until the signal takes effect.
func (p *process) freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return poll(pollTimeout, p.isFrozen)
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
		// The state follows the program's name, which ends with a parenthesis.
		if _, state, _ := bytes.Cut(stat, []byte(") ")); !bytes.HasPrefix(state, []byte("T")) {
			return fmt.Errorf("%s: %w", p.name, errNotFrozen)
		}
	}
	return nil
}

// kill sends SIGKILL to the process, if it is running, and waits for its exit.
func (p *process) kill() error {
	if !p.running() {
		return nil
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// stop sends SIGTERM to the process and requires exit status 0.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.awaitExit()
}

func (p *process) awaitExit() error {
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		return fmt.Errorf("%s: %w", p.name, errNoExit)
	}
	if p.failure != nil {
		return fmt.Errorf("%s: %w", p.name, p.failure)
	}
	return nil
}
