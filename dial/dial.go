// Package dial tells connections that were never made from calls that broke.
package dial

import (
	"errors"
	"net"
)

// Failed reports whether an error of an HTTP call means that no connection was
// made, so that nothing was sent.
func Failed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
