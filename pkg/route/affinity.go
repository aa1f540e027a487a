package route

import (
	"math/bits"
	"slices"
)

// groupSize is the approximate number of candidates in a group. Rendezvous hashing first
// picks a group and then a candidate inside it, so that a lookup among n candidates hashes
// n/groupSize + groupSize times instead of n times.
const groupSize = 16

// group is a subset of a pool that is determined by the candidates' names.
type group struct {
	hash    uint64
	members []int32
}

// groupCandidates divides candidates into groups by a hash of their names.
func groupCandidates(locals []candidate) []group {
	count := 1 << bits.Len(uint(len(locals)/groupSize))
	groups := make([]group, count)
	for i := range groups {
		groups[i].hash = mix(uint64(i))
	}
	for i := range locals {
		g := &groups[locals[i].hash&uint64(count-1)]
		g.members = append(g.members, int32(i))
	}
	return slices.DeleteFunc(groups, func(g group) bool { return len(g.members) == 0 })
}

// preferred returns the index of the candidate to which rendezvous hashing assigns a key,
// or -1.
func (p *pool) preferred(key uint64) int32 {
	if len(p.groups) == 0 {
		return -1
	}
	best := 0
	var top uint64
	for i := range p.groups {
		if weight := mix(key ^ p.groups[i].hash); i == 0 || weight > top {
			best, top = i, weight
		}
	}
	chosen := int32(-1)
	for _, i := range p.groups[best].members {
		if weight := mix(key ^ p.locals[i].hash); chosen < 0 || weight > top {
			chosen, top = i, weight
		}
	}
	return chosen
}

// mix is the 64-bit finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// maxAffinityMessage is the index of the last message that may decide where a prompt is
// sent: usually the history that follows the instructions. Later ones differ from turn to
// turn.
const maxAffinityMessage = 1

// affinityMessage is the index of the message up to which a prompt's prefix decides where
// it is sent. The last message is new each time, and counts only if it is the only one.
func affinityMessage(req *Request) int {
	return max(0, min(maxAffinityMessage, len(req.Prefixes)-2))
}

// affinityKey returns the hash by which a request is placed.
func affinityKey(req *Request) (key uint64, ok bool) {
	if len(req.Prefixes) == 0 {
		return 0, false
	}
	return req.Prefixes[affinityMessage(req)], true
}

// prefixTokens returns the prompt tokens up to the end of message i.
func prefixTokens(req *Request, i int) float64 {
	if i < len(req.PrefixTokens) {
		return float64(req.PrefixTokens[i])
	}
	return float64(req.PromptTokens) * float64(i+1) / float64(len(req.Prefixes))
}

// addHints records that a candidate reported these prefixes as cached.
func (p *pool) addHints(index int32, prefixes []uint64) {
	for _, prefix := range prefixes {
		p.hints[prefix] = append(p.hints[prefix], index)
	}
}

// longestHint returns the longest prefix of the request that any candidate
// reported as cached: its message index, and those candidates.
func (p *pool) longestHint(req *Request) (message int, holders []int32) {
	for i := len(req.Prefixes) - 1; i >= 0; i-- {
		if holders := p.hints[req.Prefixes[i]]; len(holders) > 0 {
			return i, holders
		}
	}
	return -1, nil
}

// Confidence in the contents of a cache.
const (
	// hintTrust is for a prefix that the upstream reported: reports arrive late.
	hintTrust = 0.9
	// preferredTrust is for the upstream to which rendezvous hashing assigns a prefix: this
	// may be the first request with it, or it may have been evicted.
	preferredTrust = 0.5
)

// cachedTokens estimates how many prompt tokens of the request candidate i has cached.
func (p *pool) cachedTokens(req *Request, i, preferred int32) float64 {
	cached := 0.0
	for message := len(req.Prefixes) - 1; message >= 0; message-- {
		if slices.Contains(p.hints[req.Prefixes[message]], i) {
			cached = hintTrust * prefixTokens(req, message)
			break
		}
	}
	if i != preferred {
		return cached
	}
	return max(cached, preferredTrust*prefixTokens(req, affinityMessage(req)))
}
