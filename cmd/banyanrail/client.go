package main

import "github.com/banyanrail/banyanrail/operator"

// client follows what it ordered, for people.
type client struct{ *operator.Client }

func newClient(s *settings) *client {
	return &client{Client: operator.New(s.Entry, s.Token)}
}
