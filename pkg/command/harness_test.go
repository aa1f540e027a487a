package command_test

import (
	"context"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

var errDown = &platform.Error{Service: "key-value", Call: "any", Err: platform.ErrUnavailable}

// countingRandom is a random source that returns 7s first, then 8s, and so on.
type countingRandom struct{ next byte }

func (c *countingRandom) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 7 + c.next
	}
	c.next++
	return len(p), nil
}

// fakeRemote answers for the other instances.
type fakeRemote struct{ down bool }

func (f *fakeRemote) Ask(_ context.Context, domain, operator, line string) (command.Reply, error) {
	if f.down {
		return command.Reply{}, errDown
	}
	return command.Reply{Verdict: command.OK, Text: domain + " answers " + operator + ": " + line}, nil
}

func (f *fakeRemote) Why(_ context.Context, id string) ([]string, int, error) {
	if id == "kal-1-77" {
		return []string{"residents-app lilac-nurse", "at nurse-1, complete in 812 ms"}, 1, nil
	}
	return nil, 2, nil
}

// harness is one instance with its platform and a board for three domains.
type harness struct {
	kv     *platformtest.Service
	store  *config.Store
	board  *board.Board
	remote *fakeRemote
	// partitioned is true while larisa-hall is unreachable.
	partitioned bool
	executor    *command.Executor
}

// newHarness returns a harness with revision 117 in force on all seven instances,
// by the synctest clock.
func newHarness(t testing.TB) *harness {
	t.Helper()
	return newHarnessWith(t, declaration())
}

// newHarnessWith returns a harness with revision 117 of a declaration.
func newHarnessWith(t testing.TB, decl *config.Declaration) *harness {
	t.Helper()
	h := &harness{kv: platformtest.New(clock.System{}), board: new(board.Board), remote: new(fakeRemote)}
	pause := func(ctx context.Context, wait time.Duration) error {
		select {
		case <-time.After(wait):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.store = config.NewStore(h.kv, clock.System{}, pause, func() float64 { return 1 })
	h.executor = &command.Executor{
		Self:     command.Self{Instance: "kal-1", Domain: "kalamaria-hall", Region: "makedonia"},
		Board:    h.board,
		Changes:  h.store,
		Remote:   h.remote,
		Clock:    clock.System{},
		Random:   new(countingRandom),
		Accepted: h.publish,
	}
	h.seed(t, decl)
	return h
}

// seed stores the first head and fills the board.
func (h *harness) seed(t testing.TB, decl *config.Declaration) {
	t.Helper()
	head := &config.Head{Revision: 117, Declaration: decl, Archived: 117}
	encoded, err := config.EncodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	h.kv.Set(config.HeadKey, encoded)
	h.board.Upstreams.Store(&board.Upstreams{ByName: map[string]board.UpstreamLoad{
		"nurse-1": {Name: "nurse-1", State: board.UpstreamLive, Running: 3, Queued: 1, DecodeRate: 41, Version: "v1", ReportedAt: time.Now().Add(-2 * time.Second)},
		"nurse-2": {Name: "nurse-2", State: board.UpstreamLive, Running: 1},
	}})
	h.board.Platform.Store(platformSilent(0))
	h.publish(head)
}

// publish sets a head as in force on every instance.
func (h *harness) publish(head *config.Head) {
	h.board.Config.Store(head)
	h.members(head.Revision)
	h.domains(head.Revision, 2, 0)
}

func (h *harness) members(revision config.Revision) {
	var instances []board.Instance
	for _, name := range []string{"kal-1", "kal-2", "kal-3"} {
		instances = append(instances, board.Instance{Name: name, Domain: "kalamaria-hall", State: board.InstanceLive, Revision: revision, LastHeard: time.Now()})
	}
	h.board.Members.Store(&board.Members{Self: "kal-1", Instances: instances})
}

// domains sets the digests of the other domains. The given number of larisa-hall's
// two instances has the revision, and its digest has the given age.
func (h *harness) domains(revision config.Revision, larisa int, silence time.Duration) {
	pool := []board.PoolDigest{{Serves: "lilac-nurse", Version: "v1", Slots: 16, Busy: 2, Waiting: 1}}
	h.board.Domains.Store(&board.Domains{Remote: []board.DomainDigest{
		{Domain: "larisa-hall", Region: "thessalia", HeardAt: time.Now().Add(-silence), Nodes: 2, Platform: true, Pools: pool,
			Revisions: []board.RevisionCount{{Revision: revision, Nodes: larisa}, {Revision: revision - 1, Nodes: 2 - larisa}}},
		{Domain: "peristeri-hall", Region: "attiki", HeardAt: time.Now(), Nodes: 2, Platform: true, Pools: pool,
			Revisions: []board.RevisionCount{{Revision: revision, Nodes: 2}}},
	}})
}

func declaration() *config.Declaration {
	hash := func(name string) string { return config.HashKey("key-" + name) }
	return &config.Declaration{
		Regions: []config.Region{
			{Name: "attiki", Domains: []string{"peristeri-hall"}},
			{Name: "makedonia", Domains: []string{"kalamaria-hall"}},
			{Name: "thessalia", Domains: []string{"larisa-hall"}},
		},
		Models: []config.Model{{
			Name:     "lilac-nurse",
			Versions: []config.ModelVersion{{Name: "v1", Percent: 100}, {Name: "v2", Percent: 0}},
			Regions:  []string{"attiki", "makedonia", "thessalia"},
		}},
		Services: []config.Service{{
			Name: "sleeplog-api", Prefix: "/sleeplog/", Regions: []string{"makedonia"},
			Routes: []config.Route{{Method: "POST", Path: "uploads"}},
		}},
		Upstreams: []config.Upstream{
			{Name: "api-1", Kind: "service", Serves: "sleeplog-api", Domain: "kalamaria-hall", Address: "127.0.0.9:9000", Concurrency: 8},
			{Name: "nurse-1", Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "kalamaria-hall", Address: "127.0.0.1:9000", Concurrency: 8},
			{Name: "nurse-2", Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "kalamaria-hall", Address: "127.0.0.2:9000", Concurrency: 8},
			{Name: "nurse-3", Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "larisa-hall", Address: "127.0.0.3:9000", Concurrency: 8},
		},
		Callers: []config.Caller{
			{Name: "clinic-review", KeyHash: hash("clinic-review"), Home: "thessalia", Regions: []string{"thessalia"}},
			{Name: "residents-app", KeyHash: hash("residents-app"), Home: "makedonia", Regions: []string{"attiki", "makedonia"}, Models: []string{"lilac-nurse"}},
		},
		Operators: []config.Operator{{Name: "eleni", KeyHash: hash("eleni")}},
	}
}

// platformSilent returns the health of a platform that has been unreachable for the
// given time; zero means that it answers.
func platformSilent(silence time.Duration) *board.PlatformHealth {
	return &board.PlatformHealth{KeyValue: silence == 0, Since: time.Now().Add(-silence)}
}

// stored returns the head in the key-value service.
func (h *harness) stored() *config.Head {
	head, err := config.DecodeHead(h.kv.Value(config.HeadKey))
	if err != nil {
		panic(err)
	}
	return head
}
