package credential

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// PollInterval is the interval at which the files are checked.
const PollInterval = 10 * time.Second

// Pair is a certificate with its key.
type Pair struct {
	current atomic.Pointer[tls.Certificate]
}

// Certificate returns the current certificate.
func (p *Pair) Certificate() *tls.Certificate { return p.current.Load() }

// Authority is a set of certificates that verify those of others.
type Authority struct{ current atomic.Pointer[x509.CertPool] }

// Pool returns the current set.
func (a *Authority) Pool() *x509.CertPool { return a.current.Load() }

// Secret is a password or token.
type Secret struct{ current atomic.Pointer[string] }

// Value returns the current value.
func (s *Secret) Value() string { return *s.current.Load() }

// Store holds the credentials that a process reads from files. It is safe for
// concurrent use.
type Store struct {
	clock clock.Clock

	mu    sync.Mutex
	items map[string]*item
}

// item is one credential that is read from files.
type item struct {
	value any
	files []string
	seen  []fileVersion
	// load reads the files, replaces the current value and returns its expiry time,
	// which is zero if it never expires.
	load    func(now time.Time) (time.Time, error)
	expires time.Time
	// refused is true while the files are invalid.
	refused bool
	warning *warning
}

// fileVersion identifies a version of a file; it is zero for an absent file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store { return &Store{clock: c, items: make(map[string]*item)} }

// Pair reads a certificate and its key. The error is a *FileError.
func (s *Store) Pair(certificate, key string) (*Pair, error) {
	pair := new(Pair)
	stored, err := s.add("pair", pair, []string{certificate, key}, func(now time.Time) (time.Time, error) {
		loaded, err := LoadPair(certificate, key, now)
		if err != nil {
			return time.Time{}, err
		}
		pair.current.Store(loaded)
		return loaded.Leaf.NotAfter, nil
	})
	if err != nil {
		return nil, err
	}
	return stored.(*Pair), nil
}

// Authority reads a set of certificates. The error is a *FileError.
func (s *Store) Authority(file string) (*Authority, error) {
	authority := new(Authority)
	stored, err := s.add("authority", authority, []string{file}, func(now time.Time) (time.Time, error) {
		pool, until, err := LoadAuthority(file, now)
		if err != nil {
			return time.Time{}, err
		}
		authority.current.Store(pool)
		return until, nil
	})
	if err != nil {
		return nil, err
	}
	return stored.(*Authority), nil
}

// Secret reads a password or token. The error is a *FileError.
func (s *Store) Secret(file string) (*Secret, error) {
	secret := new(Secret)
	stored, err := s.add("secret", secret, []string{file}, func(time.Time) (time.Time, error) {
		value, err := LoadSecret(file)
		if err != nil {
			return time.Time{}, err
		}
		secret.current.Store(&value)
		return time.Time{}, nil
	})
	if err != nil {
		return nil, err
	}
	return stored.(*Secret), nil
}

// add reads the files and adds their value. For files that were added before, it
// returns the existing value and does not read them.
func (s *Store) add(kind string, value any, files []string, load func(time.Time) (time.Time, error)) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := kind + "\x00" + strings.Join(files, "\x00")
	if earlier, ok := s.items[name]; ok {
		return earlier.value, nil
	}
	added := &item{value: value, files: files, seen: fileVersions(files), load: load}
	expires, err := load(s.clock.Now())
	if err != nil {
		return nil, err
	}
	added.expires = expires
	s.items[name] = added
	return value, nil
}

// Run checks the files at PollInterval until ctx is done.
func (s *Store) Run(ctx context.Context, log zerolog.Logger) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		s.Poll(log)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Poll checks all files once and reloads those that changed. An invalid file is
// logged once and leaves the old value in use.
func (s *Store) Poll(log zerolog.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, one := range s.items {
		one.poll(now, log)
		one.warn(now, log)
	}
}

func (i *item) poll(now time.Time, log zerolog.Logger) {
	found := fileVersions(i.files)
	if sameVersions(found, i.seen) {
		return
	}
	i.seen = found
	expires, err := i.load(now)
	i.refused = err != nil
	if err != nil {
		log.Error().Strs("files", i.files).Err(err).Msg("credential-refused")
		return
	}
	i.expires = expires
	i.warning = nil
	log.Info().Strs("files", i.files).Msg("credential-renewed")
}

// fileVersions must be called before the files are read, so that a change in between
// is detected by the next check.
func fileVersions(files []string) []fileVersion {
	found := make([]fileVersion, len(files))
	for i, file := range files {
		if info, err := os.Stat(file); err == nil {
			found[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return found
}

func sameVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

// Register adds gauges to the registry: the seconds until the first certificate
// expires (zero when there is none) and the number of refused credentials.
func (s *Store) Register(registry metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("credentials.expiry_seconds", registry, s.untilExpiry)
	metrics.NewRegisteredFunctionalGauge("credentials.refused", registry, s.refused)
}

func (s *Store) untilExpiry() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, one := range s.items {
		if !one.expires.IsZero() && (first.IsZero() || one.expires.Before(first)) {
			first = one.expires
		}
	}
	if first.IsZero() {
		return 0
	}
	return int64(first.Sub(s.clock.Now()) / time.Second)
}

func (s *Store) refused() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var count int64
	for _, one := range s.items {
		if one.refused {
			count++
		}
	}
	return count
}
