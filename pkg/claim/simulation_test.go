package claim

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// fault is the fault that the simulated network injects into a call.
type fault uint64

const (
	faultNone fault = iota
	faultRequestLost
	faultReplyLost
	faultDelayed
	faultKinds
)

var errNetwork = errors.New("no answer")

// simulation is a set of gateways on a network that loses and delays calls.
type simulation struct {
	clock    fakeClock
	random   *rand.ChaCha8
	keyValue *platformtest.Service

	mu           sync.Mutex
	processes    map[string]*process // by instance name, the current incarnation
	incarnations uint64
	// faulty makes calls fail as determined by the seed, the link and a counter.
	faulty bool
	// nextFaults are scripted for the next calls on a link, before random ones.
	nextFaults map[string][]fault
	seed       uint64
	counter    map[string]uint64
	delayed    []func()
	// pause is called between two attempts of a handover or a search.
	pause func()
	// beforeCall, unless nil, is called before each call on a link.
	beforeCall func(link string)
	codecs     map[reflect.Type]*codec
}

// process is one incarnation of a gateway.
type process struct {
	simulation   *simulation
	self         Origin
	coordinator  *Coordinator
	frozen, dead bool
	leaving      bool
	inbox        []func()
	members      *board.Members
	domains      *board.Domains
}

var deployment = map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}

var instanceNames = []string{"a1", "a2", "a3", "b1", "b2"}

func newSimulation(seed byte) *simulation {
	w := &simulation{processes: make(map[string]*process), codecs: make(map[reflect.Type]*codec), counter: make(map[string]uint64), nextFaults: make(map[string][]fault), pause: func() {}}
	w.random = rand.NewChaCha8([32]byte{seed})
	w.keyValue = platformtest.New(new(fakeClock)) // a stopped clock, so no claim expires
	for _, name := range instanceNames {
		w.start(name)
	}
	w.refreshAll()
	return w
}

func (w *simulation) start(name string) *process {
	w.incarnations++
	p := &process{simulation: w, self: Origin{Domain: deployment[name], Instance: name, Incarnation: w.incarnations}}
	p.coordinator = New(Options{
		Self: p.self, Clock: &w.clock, Random: w.random, Peers: p, KeyValue: w.keyValue, TTL: fixedTTL,
		Members:    func() *board.Members { return p.members },
		Domains:    func() *board.Domains { return p.domains },
		Background: func(work func()) { work() },
		Sleep:      p.sleepOnce(),
	})
	w.processes[name] = p
	p.refresh()
	return p
}

// sleepOnce lets each handover and search try twice and then fail. The simulation's pause runs
// in between.
func (p *process) sleepOnce() func(context.Context, time.Duration) error {
	slept := make(map[context.Context]int)
	return func(ctx context.Context, _ time.Duration) error {
		p.simulation.pause()
		slept[ctx]++
		if slept[ctx]%2 == 0 || p.dead {
			return context.DeadlineExceeded
		}
		return nil
	}
}

func (w *simulation) refreshAll() {
	for _, name := range instanceNames {
		w.processes[name].refresh()
	}
}

// refresh gives a process the current membership, which then becomes stale until
// the next refresh.
func (p *process) refresh() {
	members, digest := &board.Members{Self: p.self.Instance}, board.DomainDigest{}
	for _, name := range instanceNames {
		other := p.simulation.processes[name]
		if other == nil {
			continue
		}
		if deployment[name] == p.self.Domain {
			members.Instances = append(members.Instances, other.instance())
			continue
		}
		digest.Domain = deployment[name]
		digest.Entries = append(digest.Entries, other.instance())
	}
	p.members, p.domains = members, &board.Domains{Remote: []board.DomainDigest{digest}}
}

func (p *process) instance() board.Instance {
	instance := board.Instance{
		Name: p.self.Instance, Domain: p.self.Domain, Incarnation: p.self.Incarnation,
		State: board.InstanceLive, Addresses: board.Addresses{Control: p.self.Instance},
	}
	instance.Load.Successor = p.coordinator.Successor()
	switch {
	case p.leaving:
		instance.State = board.InstanceLeaving
	case p.dead || p.frozen:
		instance.State = board.InstanceSilent
	}
	return instance
}

// Call implements Peers. Arguments and replies pass through gob, as in net/rpc.
func (p *process) Call(_ context.Context, address, method string, args, reply any) error {
	w := p.simulation
	if w.beforeCall != nil {
		w.beforeCall(p.self.Instance + ">" + address)
	}
	w.mu.Lock()
	target := w.processes[address]
	chosen := w.choose(p.self.Instance + ">" + address)
	w.mu.Unlock()
	deliver := target.prepare(method, args)
	later := func() { deliver(reflect.New(reflect.TypeOf(reply).Elem()).Interface()) }
	switch {
	case target.dead || chosen == faultRequestLost:
		return errNetwork
	case target.frozen:
		w.mu.Lock()
		target.inbox = append(target.inbox, later)
		w.mu.Unlock()
		return errNetwork
	case chosen == faultDelayed:
		w.mu.Lock()
		w.delayed = append(w.delayed, later)
		w.mu.Unlock()
		return errNetwork
	case chosen == faultReplyLost:
		later()
		return errNetwork
	case !deliver(reply):
		return errNetwork
	}
	return nil
}

// choose returns the fault of the next call on a link; when faulty, about three in
// eight calls fail.
func (w *simulation) choose(link string) fault {
	if nextFaults := w.nextFaults[link]; len(nextFaults) > 0 {
		w.nextFaults[link] = nextFaults[1:]
		return nextFaults[0]
	}
	if !w.faulty {
		return faultNone
	}
	w.counter[link]++
	drawn := xxhash.Sum64String(fmt.Sprint(w.seed, link, w.counter[link]))
	if drawn%2 == 0 {
		return faultNone
	}
	return fault(drawn / 2 % uint64(faultKinds))
}

// prepare returns a function that serves a message by this process and fills in the
// reply, or returns false if the process is dead.
func (p *process) prepare(method string, args any) func(reply any) bool {
	service := p.coordinator.Service()
	switch method {
	case MethodBegin:
		return serveAs(p, service.Begin, args)
	case MethodFinish:
		return serveAs(p, service.Finish, args)
	case MethodCopy:
		return serveAs(p, service.Copy, args)
	case MethodStage:
		return serveAs(p, service.Stage, args)
	case MethodAdopt:
		return serveAs(p, service.Adopt, args)
	default:
		panic(method)
	}
}

func serveAs[A, R any](p *process, handle func(A, *R) error, message any) func(reply any) bool {
	var args A
	p.simulation.roundTrip(message, &args)
	return func(reply any) bool {
		var answer R
		if p.dead || handle(args, &answer) != nil {
			return false
		}
		p.simulation.roundTrip(answer, reply)
		return true
	}
}

// codec encodes values of one type with gob, as net/rpc does.
type codec struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func (w *simulation) roundTrip(value, to any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := reflect.TypeOf(to)
	line := w.codecs[kind]
	if line == nil {
		line = &codec{}
		line.encoder, line.decoder = gob.NewEncoder(&line.buffer), gob.NewDecoder(&line.buffer)
		w.codecs[kind] = line
	}
	if err := errors.Join(line.encoder.Encode(value), line.decoder.Decode(to)); err != nil {
		panic(err)
	}
}

// thaw unfreezes a process and delivers the calls received in the meantime.
func (p *process) thaw() {
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
}
