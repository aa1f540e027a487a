package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/load"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/prefix"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

// Open-loop load of the random run.
const (
	randomRate    = 25.0
	randomTimeout = 15 * time.Second
	uploadPath    = "/sleeplog/uploads"
	exportPath    = "/sleeplog/exports/night"
)

// callerDomains maps the sending callers to the failure domain of their seed addresses.
// The residents' requests must stay in that domain.
var callerDomains = map[string]string{
	"residents-app": "kalamaria-hall", "larisa-residents": "larisa-hall", "peristeri-residents": "peristeri-hall",
	"clinic-review": "larisa-hall", "shift-workers": "kalamaria-hall",
}

// callerNames is the order in which callers are drawn.
var callerNames = []string{"residents-app", "larisa-residents", "peristeri-residents", "clinic-review", "shift-workers"}

// errWrongContent reports an answer that does not match its request.
var errWrongContent = errors.New("the answer is incomplete or belongs to another request")

// request is one request of a caller, which may be repeated under its key.
type request struct {
	id, caller, method, path, key string
	body                          []byte
	chat                          *client.ChatRequest
	deadline                      time.Duration
	// cancelAfter is the time after which the caller cancels; zero for never.
	cancelAfter time.Duration
	// repeatAfter is the delay of a repeat under the same key through another instance;
	// negative for none.
	repeatAfter time.Duration
}

// attempt is one attempt of a request and its result.
type attempt struct {
	*request
	// id is the request ID of this attempt; each attempt under a key has its own.
	id     string
	answer *client.Answer
	interval
	// gateway is the gateway address to which the caller connected last.
	gateway string
	// followsList is true if the caller followed the instance list.
	followsList bool
	// cancelled is true if the caller cancelled the request or ran into its timeout.
	cancelled bool
	// contentErr is the mismatch of the content, or nil.
	contentErr error
}

// callerLoad sends the load of the random run and records the result of each attempt.
type callerLoad struct {
	seed      uint64
	followers map[string]*client.Follower
	clients   map[string]*client.Client
	addresses []string

	mu       sync.Mutex
	attempts []*attempt
	sent     sync.WaitGroup
}

func newCallerLoad(d *deployment, seed uint64) *callerLoad {
	c := &callerLoad{seed: seed, followers: make(map[string]*client.Follower), clients: make(map[string]*client.Client)}
	seeds := load.SeedsByDomain(d.instances)
	for caller, domain := range callerDomains {
		c.clients[caller] = client.New("key-"+caller, nil)
		c.followers[caller] = client.NewFollower(c.clients[caller], seeds[domain])
	}
	for _, name := range d.names() {
		c.addresses = append(c.addresses, d.instances[name].Gateway.Callers)
	}
	return c
}

// run sends requests at times drawn in advance until ctx is cancelled, and waits for
// every answer.
func (c *callerLoad) run(ctx context.Context, length time.Duration) {
	source := rand.New(rand.NewPCG(c.seed, 1))
	begin := time.Now()
	for number, due := range load.Arrivals(c.seed, randomRate, length) {
		drawn := draw(source, number)
		pick := source.IntN(len(c.addresses))
		if !clock.Sleep(ctx, time.Until(begin.Add(due))) {
			break
		}
		c.sent.Go(func() { c.send(drawn, c.addresses[pick]) })
	}
	c.sent.Wait()
}

// draw returns a random request.
func draw(source *rand.Rand, number int) *request {
	r := &request{id: fmt.Sprintf("r%d", number), caller: callerNames[source.IntN(len(callerNames))], repeatAfter: -1}
	switch roll := source.IntN(10); {
	case roll < 5:
		r.chat = &client.ChatRequest{Model: "lilac-nurse", MaxTokens: 4 + source.IntN(40)}
		r.chat.Messages = []client.Message{
			{Role: "system", Content: fmt.Sprintf("history %d of %s", source.IntN(6), r.caller) + strings.Repeat(" asleep awake", 40)},
			{Role: "user", Content: fmt.Sprintf("question %d", source.Uint64())},
		}
		if source.IntN(5) == 0 {
			r.deadline = 4 * time.Second
		}
		if source.IntN(12) == 0 {
			r.cancelAfter = time.Duration(50+source.IntN(500)) * time.Millisecond
		}
	case roll < 9:
		r.method, r.path = http.MethodPost, uploadPath
		r.body = fmt.Appendf(nil, `{"night":%d}`, source.Uint64())
		r.chooseKey(source)
	default:
		r.method, r.path = http.MethodGet, exportPath
	}
	return r
}

// Placeholder for a key that the system generates, and prefix of a caller's own key.
const (
	systemKey = "system"
	opaqueKey = "opaque-"
)

// chooseKey draws the kind of key and a repeat under it.
func (r *request) chooseKey(source *rand.Rand) {
	switch roll := source.IntN(10); {
	case roll < 1:
		return
	case roll < 3:
		r.key = fmt.Sprintf("%s%016x", opaqueKey, source.Uint64())
	default:
		r.key = systemKey
	}
	switch source.IntN(3) {
	case 0:
		r.repeatAfter = 0
	case 1:
		r.repeatAfter = time.Duration(100+source.IntN(6000)) * time.Millisecond
	}
}

// send sends a request along the instance list and, if drawn, a repeat under its key
// through another instance.
func (c *callerLoad) send(r *request, other string) {
	ctx, cancel := context.WithTimeout(context.Background(), randomTimeout)
	defer cancel()
	if r.key == systemKey {
		key, err := c.followers[r.caller].NewKey(ctx)
		if err != nil {
			return // no gateway answered, so nothing was sent
		}
		r.key = key
	}
	if r.repeatAfter >= 0 {
		c.sent.Go(func() {
			clock.Sleep(context.Background(), r.repeatAfter)
			c.sendAttempt(&attempt{request: r, id: r.id + "-again"}, other)
		})
	}
	c.sendAttempt(&attempt{request: r, id: r.id, followsList: true}, "")
}

// sendAttempt sends one attempt, to an address or along the instance list, and records
// the answer.
func (c *callerLoad) sendAttempt(one *attempt, address string) {
	limit := randomTimeout
	if one.cancelAfter > 0 {
		limit = one.cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		one.gateway = info.Conn.RemoteAddr().String()
	}})
	options := client.Options{RequestID: one.id, IdempotencyKey: one.key, Deadline: one.deadline}
	one.from = time.Now()
	switch {
	case one.chat != nil:
		one.answer = c.followers[one.caller].Chat(ctx, *one.chat, options, nil)
	case one.followsList:
		one.answer = c.followers[one.caller].Call(ctx, one.method, one.path, one.body, options)
	default:
		one.answer = c.clients[one.caller].Call(ctx, address, one.method, one.path, one.body, options)
	}
	one.until = time.Now()
	one.cancelled = ctx.Err() != nil
	one.contentErr = one.check()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, one)
}

// check compares a complete answer with the one expected for its request.
func (t *attempt) check() error {
	if t.answer.Outcome != outcome.Complete {
		return nil
	}
	if t.chat != nil {
		return t.checkChat()
	}
	if t.answer.Status >= http.StatusInternalServerError {
		return nil // the service's own error, which is passed through
	}
	var body service.Answer
	if err := json.Unmarshal(t.answer.Body, &body); err != nil {
		return fmt.Errorf("%w: %w", errWrongContent, err)
	}
	// A repeat receives the answer of the first run, which contains that run's ID.
	mine := strings.HasPrefix(body.RequestID, t.caller+"~"+t.request.id+"~") || strings.HasPrefix(body.RequestID, t.caller+"~"+t.request.id+"-again~")
	if !mine || body.Bytes != int64(len(t.body)) || body.Method != t.method {
		return fmt.Errorf("%w: %s", errWrongContent, t.answer.Body)
	}
	return nil
}

func (t *attempt) checkChat() error {
	messages := make([]prefix.Message, 0, len(t.chat.Messages))
	for _, message := range t.chat.Messages {
		messages = append(messages, prefix.Message(message))
	}
	hashes := prefix.Hashes(messages)
	var want strings.Builder
	for index := range t.chat.MaxTokens {
		want.WriteString(engine.Content(hashes[len(hashes)-1], index))
	}
	if string(t.answer.Body) != want.String() {
		return fmt.Errorf("%w: %q, want %q", errWrongContent, t.answer.Body, want.String())
	}
	return nil
}
