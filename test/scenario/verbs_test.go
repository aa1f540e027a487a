package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// verb executes a script command on a deployment and returns its output.
type verb func(d *deployment, args []string) (string, error)

var (
	errUsage       = errors.New("wrong arguments")
	errNotComplete = errors.New("the answer is incomplete")
	errNoMatch     = errors.New("no match")
	errNoPlan      = errors.New("no deployment has been planned")
	errSucceeded   = errors.New("succeeded but was expected to fail")
)

// verbTable returns the verbs. sigkill and sigterm are so named because kill and stop are
// commands of testscript.
func verbTable() map[string]verb {
	return map[string]verb{
		"start":    forEach(func(d *deployment, name string) error { return d.start(name) }),
		"sigkill":  concurrently((*process).kill),
		"sigterm":  concurrently((*process).stop),
		"freeze":   concurrently((*process).freeze),
		"thaw":     concurrently(func(p *process) error { return p.signal(syscall.SIGCONT) }),
		"replace":  forEach(replace),
		"ctl":      control,
		"run":      operate,
		"apply":    applyFile,
		"race":     race,
		"ask":      ask,
		"call":     call,
		"ready":    ready,
		"ran":      ran,
		"outside":  outside,
		"logged":   logged,
		"send":     send,
		"sending":  sending,
		"sent":     sent,
		"hop":      hop,
		"metric":   metric,
		"text":     text,
		"hang-up":  hangUp,
		"asking":   asking,
		"streamed": streamed,
		"asked":    asked,
		"key":      newKey,
		"calling":  calling,
		"called":   called,
		"atonce":   atOnce,
		"moment":   moment,
		"work":     work,
		"holder":   holder,
		"orders":   orders,
		"web":      web,
		"nonsense": nonsense,
		"slow":     slow,
		"pids":     pids,
		"program":  program,
		"secure":   secure,
		"encrypt":  encrypt,
		"knock":    knock,
	}
}

// verbs returns the script commands: the table's, plan and deploy, which create the
// deployment, and expect.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){
		"plan":   func(ts *testscript.TestScript, _ bool, args []string) { planFor(ts, args) },
		"deploy": func(ts *testscript.TestScript, _ bool, args []string) { deploy(ts, args) },
		"expect": expect,
	}
	for name, run := range verbTable() {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			text, err := run(current(ts), args)
			_, _ = fmt.Fprintln(ts.Stdout(), text)
			ts.Logf("%s", text)
			if neg && err == nil {
				err = errSucceeded
			} else if neg {
				err = nil
			}
			ts.Check(err)
		}
	}
	return commands
}

// deployments holds each script's deployment by the script's work directory.
var deployments sync.Map

func current(ts *testscript.TestScript) *deployment {
	found, ok := deployments.Load(ts.Getenv("WORK"))
	if !ok {
		ts.Check(errNoPlan)
	}
	return found.(*deployment)
}

func planFor(ts *testscript.TestScript, args []string) *deployment {
	if len(args) == 0 {
		ts.Check(errUsage)
	}
	work := ts.Getenv("WORK")
	d, err := plan(args[0], work)
	ts.Check(err)
	ts.Check(d.runSeparately(args[1:]))
	deployments.Store(work, d)
	ts.Defer(func() {
		deployments.Delete(work)
		d.close()
		ts.Logf("%s", d.showLogs())
	})
	return d
}

// deploy plans a deployment, with one process each for the named upstreams, starts
// everything, applies the declaration and waits until it is in force everywhere.
func deploy(ts *testscript.TestScript, args []string) {
	ts.Check(bringUp(planFor(ts, args)))
}

// expect repeats a verb until its output matches, or with ! until it does not: expect
// REGEXP VERB ARGS.
func expect(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 || verbTable()[args[1]] == nil {
		ts.Check(errUsage)
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	d := current(ts)
	ts.Check(poll(pollTimeout, func() error {
		text, err := verbTable()[args[1]](d, args[2:])
		if pattern.MatchString(text) != neg {
			return nil
		}
		return fmt.Errorf("%w: want %s (not: %t), have: %s (%v)", errNoMatch, args[0], neg, text, err)
	}))
}

// forEach applies an action to every given name in turn.
func forEach(action func(d *deployment, name string) error) verb {
	return func(d *deployment, args []string) (string, error) {
		for _, name := range args {
			if err := action(d, name); err != nil {
				return "", err
			}
		}
		return "", nil
	}
}

// concurrently applies an action to the processes of all given names in parallel.
func concurrently(action func(*process) error) verb {
	return func(d *deployment, args []string) (string, error) {
		var found []*process
		for _, name := range args {
			more, err := d.find(name)
			if err != nil {
				return "", err
			}
			found = append(found, more...)
		}
		failures := make([]error, len(found))
		var running sync.WaitGroup
		for index, p := range found {
			running.Go(func() { failures[index] = action(p) })
		}
		running.Wait()
		return "", errors.Join(failures...)
	}
}

func replace(d *deployment, name string) error {
	if _, err := concurrently((*process).kill)(d, []string{name}); err != nil {
		return err
	}
	return d.start(name)
}

// control sends a command to the stand-in's admin interface: ctl VERB ARGS.
func control(d *deployment, args []string) (string, error) {
	return d.exec(append([]string{"lilacweir-standin", "ctl", d.admin()}, args...)...)
}

// operate sends an operator's line: run [INSTANCE:] LINE.
func operate(d *deployment, args []string) (string, error) {
	line := strings.Join(args, " ")
	if name, rest, found := strings.Cut(line, ": "); found && d.instances[name] != nil {
		server := d.instances[name].Agent.Operators
		return d.exec("lilacweir", "run", "-c", d.file("operator.yaml"), "--server", server, rest)
	}
	return d.exec("lilacweir", "run", "-c", d.file("operator.yaml"), line)
}

func applyFile(d *deployment, args []string) (string, error) {
	if len(args) != 1 {
		return "", errUsage
	}
	file := args[0]
	if !strings.HasPrefix(file, "/") {
		file = d.file(file)
	}
	return d.exec("lilacweir", "apply", "-c", d.file("operator.yaml"), file)
}

// race sends lines through different instances concurrently: race INSTANCE LINE
// INSTANCE LINE.
func race(d *deployment, args []string) (string, error) {
	const pair = 2
	replies := make([]string, len(args)/pair)
	var running sync.WaitGroup
	for index := range replies {
		running.Go(func() {
			text, err := operate(d, []string{args[pair*index] + ":", args[pair*index+1]})
			replies[index] = fmt.Sprintf("%s\n%v", text, err)
		})
	}
	running.Wait()
	return strings.Join(replies, "\n"), nil
}

// exec runs one of the short-lived programs with the operator's key.
func (d *deployment) exec(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, d.binary(args[0]), args[1:]...)
	command.Env = append(os.Environ(), "LILACWEIR_KEY="+d.operatorKey())
	output, err := command.CombinedOutput()
	text := strings.TrimSpace(string(output))
	if err != nil {
		return text, fmt.Errorf("%s: %w\n%s", strings.Join(args, " "), err, text)
	}
	return text, nil
}

// operatorKey returns the key of the deployment's operator, which deployments of
// stand-ins derive from the name.
func (d *deployment) operatorKey() string {
	return map[string]string{"wellness": "key-eleni", "minibar": "key-linh"}[d.name]
}

// hop sends a chat request as another gateway would: hop INSTANCE DOMAIN CLASS
// CALLER REVISION MODEL. Scripts use it to forge and replay headers.
func hop(d *deployment, args []string) (string, error) {
	const count = 6
	if len(args) != count || d.instances[args[0]] == nil {
		return "", errUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"stream":true,"messages":[{"role":"user","content":"hop"}]}`, args[5])
	url := "http://" + d.instances[args[0]].Gateway.Peers + client.ChatPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("hop: %w", err)
	}
	request.Header.Set(header.ContentType, "application/json")
	request.Header.Set(header.Origin, args[1])
	request.Header.Set(header.Class, args[2])
	request.Header.Set(header.Caller, args[3])
	request.Header.Set(header.Revision, args[4])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("hop: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return fmt.Sprintf("status=%d outcome=%s body=%s", response.StatusCode, response.Header.Get(header.Outcome), answer), err
}

// requestTimeout bounds one request of a script.
const requestTimeout = 30 * time.Second

// ask sends a chat request and prints its result: ask CALLER INSTANCE MODEL TOKENS
// PROMPT.
func ask(d *deployment, args []string) (string, error) {
	answer, err := chat(context.Background(), d, args, nil)
	if err != nil {
		return "", err
	}
	return describe(answer)
}

// call sends a request to a service: call CALLER INSTANCE METHOD PATH [BODY [KEY]].
// KEY "new" creates a key with the instance's prefix; @NAME is a key that the verb
// key created.
func call(d *deployment, args []string) (string, error) {
	const least = 4
	if len(args) < least || d.instances[args[1]] == nil {
		return "", errUsage
	}
	args = append(args, "", "")
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	caller := client.New("key-"+args[0], nil)
	gateway := d.instances[args[1]].Gateway.Callers
	key, err := d.keyNamed(args[5])
	if err != nil {
		return "", err
	}
	options := client.Options{IdempotencyKey: key}
	if args[5] == "new" {
		list, err := caller.Instances(ctx, gateway)
		if err != nil {
			return "", err
		}
		options.IdempotencyKey = list.NewKey()
	}
	answer := caller.Call(ctx, gateway, args[2], args[3], []byte(args[4]), options)
	text, err := describe(answer)
	return text + " key=" + options.IdempotencyKey, err
}

func describe(answer *client.Answer) (string, error) {
	text := fmt.Sprintf("outcome=%s status=%d reason=%s domain=%s upstream=%s request=%s chunks=%d retry-after=%s body=%s",
		answer.Outcome, answer.Status, answer.Refusal.Type, answer.Domain, answer.Upstream,
		answer.RequestID, answer.Chunks, answer.Refusal.RetryAfter(), answer.Body)
	if answer.Outcome != outcome.Complete {
		return text, fmt.Errorf("%w: %s: %v", errNotComplete, text, answer.Err)
	}
	return text, nil
}
