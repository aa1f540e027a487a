package route

// Bounds of a sample.
const (
	// exhaustive is the pool size up to which every upstream is considered.
	exhaustive = 8
	// choices is how many upstreams of a larger pool are drawn at random.
	choices = 4
	// maxHolders is how many upstreams that reported the prefix are added.
	maxHolders = 3
)

// AffinityAndChoices considers every upstream of a small pool; of a large one, the prefix's
// preferred upstream, some that reported the prefix, and a few at random.
type AffinityAndChoices struct{}

// Sample implements Picker.
func (AffinityAndChoices) Sample(_ *Request, pool Sampled, rnd Rand) Sample {
	var s Sample
	offset := int(rnd.Uint64() % uint64(pool.Size))
	if pool.Size <= exhaustive {
		for i := range pool.Size {
			s.Add(int32((i + offset) % pool.Size))
		}
		return s
	}
	s.Add(pool.Preferred)
	for i := range min(maxHolders, len(pool.Holders)) {
		s.Add(pool.Holders[(i+offset)%len(pool.Holders)])
	}
	for range choices {
		s.Add(int32(rnd.Uint64() % uint64(pool.Size)))
	}
	return s
}
