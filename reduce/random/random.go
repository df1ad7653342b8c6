// Package random is a random number generator for reducers. Its state is plain
// data, so the same seed gives the same sequence in every run.
package random

// Source is a xorshift generator.
type Source struct{ state uint64 }

// New returns a generator. Seeds that differ only in their lowest bit give the
// same sequence.
func New(seed uint64) Source { return Source{state: seed | 1} }

// Next returns the next number of the sequence.
func (s *Source) Next() uint64 {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	return s.state
}
