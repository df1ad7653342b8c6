package fleet

import (
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
)

// ErrKeyMalformed means that an idempotency key is no canonical UUIDv7.
var ErrKeyMalformed = errors.New("fleet: idempotency key is not a canonical UUIDv7")

// keyVersion is the UUID version whose first bits are a Unix time.
const keyVersion = 7

// Time returns the time at which the key was made, in milliseconds of Unix
// time as RFC 9562 sets it. It fails for a key that is no UUIDv7 in canonical
// form.
func (k Key) Time() (time.Time, error) {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}, errors.Join(ErrKeyMalformed, err)
	}
	if !k.isCanonical() || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}, ErrKeyMalformed
	}
	return time.Unix(id.Time().UnixTime()).UTC(), nil
}

// canonicalLength is the length of a UUID in groups of hexadecimal digits.
const canonicalLength = 36

// isCanonical reports whether a key that parses as a UUID has the one form in
// which two keys are the same only if their text is.
func (k Key) isCanonical() bool {
	return len(k) == canonicalLength && !strings.ContainsAny(string(k), "ABCDEF")
}
