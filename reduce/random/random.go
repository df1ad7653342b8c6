// Package random is a generator for reducers: its state is plain data, so that the
// same seed gives the same choices in every run.
package random

// Source is a xorshift generator.
type Source struct{ state uint64 }

// New returns a generator. Seeds that differ only in their lowest bit are alike.
func New(seed uint64) Source { return Source{state: seed | 1} }

// Next returns the next number.
func (s *Source) Next() uint64 {
	s.state ^= s.state << 13
	s.state ^= s.state >> 7
	s.state ^= s.state << 17
	return s.state
}
