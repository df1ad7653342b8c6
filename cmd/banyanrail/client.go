package main

import "github.com/banyanrail/banyanrail/operator"

// client is an operator client that also shows the progress of commands.
type client struct{ *operator.Client }

func newClient(s *settings) *client {
	return &client{Client: operator.New(s.Entry, s.Token)}
}
