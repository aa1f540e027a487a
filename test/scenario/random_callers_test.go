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

// homes lists the callers that send and the failure domain that each asks first.
// The residents' data stays in that domain.
var homes = map[string]string{
	"residents-app": "kalamaria-hall", "larisa-residents": "larisa-hall", "peristeri-residents": "peristeri-hall",
	"clinic-review": "larisa-hall", "shift-workers": "kalamaria-hall",
}

// senders is the order in which callers are drawn.
var senders = []string{"residents-app", "larisa-residents", "peristeri-residents", "clinic-review", "shift-workers"}

// errWrongContent is an answer that is not the one to the request.
var errWrongContent = errors.New("the answer belongs to another request or is not whole")

// request is one request of a caller, which may be sent again under its key.
type request struct {
	id, caller, method, path, key string
	body                          []byte
	chat                          *client.ChatRequest
	deadline                      time.Duration
	// leaves says after how long the caller goes away; zero for never.
	leaves time.Duration
	// again says when the key is sent again through another instance; zero for
	// at once, negative for not at all.
	again time.Duration
}

// told is one request and what its caller was told.
type told struct {
	*request
	// id names this try; tries of a key have different ones.
	id     string
	answer *client.Answer
	interval
	// gateway is the callers' address that the caller spoke to last.
	gateway string
	// followed says that the caller kept to the instance list.
	followed bool
	// gone says that the caller ended the request itself.
	gone bool
	// wrong says what is wrong with the content.
	wrong error
}

// crowd sends the load of the random run and keeps what its callers were told.
type crowd struct {
	seed      uint64
	followers map[string]*client.Follower
	clients   map[string]*client.Client
	addresses []string

	mu   sync.Mutex
	told []*told
	sent sync.WaitGroup
}

func newCrowd(d *deployment, seed uint64) *crowd {
	c := &crowd{seed: seed, followers: make(map[string]*client.Follower), clients: make(map[string]*client.Client)}
	seeds := load.SeedsByDomain(d.instances)
	for caller, domain := range homes {
		c.clients[caller] = client.New("key-"+caller, nil)
		c.followers[caller] = client.NewFollower(c.clients[caller], seeds[domain])
	}
	for _, name := range d.names() {
		c.addresses = append(c.addresses, d.instances[name].Gateway.Callers)
	}
	return c
}

// run sends requests at times that were drawn beforehand until ctx ends, and
// waits for every answer.
func (c *crowd) run(ctx context.Context, length time.Duration) {
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

// draw makes a request.
func draw(source *rand.Rand, number int) *request {
	r := &request{id: fmt.Sprintf("r%d", number), caller: senders[source.IntN(len(senders))], again: -1}
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
			r.leaves = time.Duration(50+source.IntN(500)) * time.Millisecond
		}
	case roll < 9:
		r.method, r.path = http.MethodPost, uploadPath
		r.body = fmt.Appendf(nil, `{"night":%d}`, source.Uint64())
		r.keyed(source)
	default:
		r.method, r.path = http.MethodGet, exportPath
	}
	return r
}

// Marks of a key before it is made: from the system, or the caller's own.
const (
	systemKey = "system"
	opaqueKey = "opaque-"
)

// keyed decides on a key and on repeats under it.
func (r *request) keyed(source *rand.Rand) {
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
		r.again = 0
	case 1:
		r.again = time.Duration(100+source.IntN(6000)) * time.Millisecond
	}
}

// send sends a request by the instance list and, if it is to be, its key again
// through another instance.
func (c *crowd) send(r *request, other string) {
	ctx, cancel := context.WithTimeout(context.Background(), randomTimeout)
	defer cancel()
	if r.key == systemKey {
		key, err := c.followers[r.caller].NewKey(ctx)
		if err != nil {
			return // no gateway answers: nothing was sent
		}
		r.key = key
	}
	if r.again >= 0 {
		c.sent.Go(func() {
			clock.Sleep(context.Background(), r.again)
			c.attempt(&told{request: r, id: r.id + "-again"}, other)
		})
	}
	c.attempt(&told{request: r, id: r.id, followed: true}, "")
}

// attempt sends one try, to an address or by the instance list, and keeps the
// answer.
func (c *crowd) attempt(one *told, address string) {
	limit := randomTimeout
	if one.leaves > 0 {
		limit = one.leaves
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
	case one.followed:
		one.answer = c.followers[one.caller].Call(ctx, one.method, one.path, one.body, options)
	default:
		one.answer = c.clients[one.caller].Call(ctx, address, one.method, one.path, one.body, options)
	}
	one.until = time.Now()
	one.gone = ctx.Err() != nil
	one.wrong = one.check()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, one)
}

// check compares a complete answer with what its request has to get.
func (t *told) check() error {
	if t.answer.Outcome != outcome.Complete {
		return nil
	}
	if t.chat != nil {
		return t.checkChat()
	}
	if t.answer.Status >= http.StatusInternalServerError {
		return nil // the service's own error, which is passed on as it is
	}
	var body service.Answer
	if err := json.Unmarshal(t.answer.Body, &body); err != nil {
		return fmt.Errorf("%w: %w", errWrongContent, err)
	}
	// A repeat is given the first run's answer, which names that run.
	mine := strings.HasPrefix(body.RequestID, t.caller+"~"+t.request.id+"~") || strings.HasPrefix(body.RequestID, t.caller+"~"+t.request.id+"-again~")
	if !mine || body.Bytes != int64(len(t.body)) || body.Method != t.method {
		return fmt.Errorf("%w: %s", errWrongContent, t.answer.Body)
	}
	return nil
}

func (t *told) checkChat() error {
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
