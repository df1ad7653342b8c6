package fleet

import (
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
)

// ErrKeyMalformed means that an idempotency key is not a canonical UUIDv7.
var ErrKeyMalformed = errors.New("fleet: idempotency key is not a canonical UUIDv7")

// keyVersion is the UUID version that starts with a Unix timestamp.
const keyVersion = 7

// Time returns the time at which the key was created, with the millisecond
// precision of RFC 9562. Its error wraps ErrKeyMalformed if the key is not a
// UUIDv7 in canonical form.
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

// isCanonical reports whether a key that parses as a UUID is in canonical form,
// in which equal UUIDs have equal text.
func (k Key) isCanonical() bool {
	return len(k) == canonicalLength && !strings.ContainsAny(string(k), "ABCDEF")
}
