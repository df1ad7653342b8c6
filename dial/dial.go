// Package dial distinguishes failures to connect from failures of a call.
package dial

import (
	"errors"
	"net"
)

// Failed reports whether err, the error of an HTTP call, means that no connection
// was made and nothing was sent.
func Failed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
