package claim

import (
	"context"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// fakeKeyValue is the key-value service as far as Store uses it.
type fakeKeyValue struct {
	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	// down makes every call fail. loseAnswers does so after writes took effect,
	// and loseWrites before; each counts down to zero.
	down                    bool
	loseAnswers, loseWrites int
	writes                  int
	platform.KeyValue
}

func newFakeKeyValue() *fakeKeyValue {
	return &fakeKeyValue{entries: make(map[string]platform.Entry)}
}

func (f *fakeKeyValue) Get(_ context.Context, key string) (platform.Entry, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Entry{}, false, platform.ErrUnavailable
	}
	entry, ok := f.entries[key]
	return entry, ok, nil
}

func (f *fakeKeyValue) Swap(_ context.Context, expect map[string]int64, puts []platform.Put) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down || counted(&f.loseWrites) {
		return 0, platform.ErrUnavailable
	}
	for key, revision := range expect {
		if f.entries[key].ModRevision != revision {
			return 0, platform.ErrConflict
		}
	}
	f.revision++
	for _, put := range puts {
		f.put(put)
	}
	if counted(&f.loseAnswers) {
		return 0, platform.ErrUnavailable
	}
	return f.revision, nil
}

func (f *fakeKeyValue) put(put platform.Put) {
	if put.Delete {
		delete(f.entries, put.Key)
		return
	}
	f.entries[put.Key] = platform.Entry{Key: put.Key, Value: put.Value, ModRevision: f.revision}
}

func (f *fakeKeyValue) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrUnavailable
	}
	f.revision++
	return platform.LeaseID(f.revision), nil
}

func counted(left *int) bool {
	if *left == 0 {
		return false
	}
	*left--
	return true
}
