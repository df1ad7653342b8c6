package fleet

import "strconv"

// Identifiers of the things an operator names in the services text or that the
// platform lists. They are opaque and compared byte for byte.
type (
	// ServiceName names a service that callers send requests to.
	ServiceName string
	// PoolName names a pool of instances.
	PoolName string
	// InstanceID names one endpoint instance.
	InstanceID string
	// MemberName names a member: a customer whose requests share the fleet.
	MemberName string
	// DataCentre names a data centre, the largest failure domain.
	DataCentre string
	// Rack names a rack within a data centre.
	Rack string
	// EntryID names one entry instance.
	EntryID string
	// RecordID is unique for each record appended to a log stream; a record
	// read twice under one id counts once.
	RecordID string
	// Key is the idempotency key of a request, a UUIDv7 in canonical form.
	Key string
)

// Offset is the position of a record in a log stream. The first record of a
// stream has offset 1; zero means none.
type Offset int64

// Version is the offset of the publish record that brought a services text
// into force. Zero means that no text is in force.
type Version = Offset

// RequestID identifies a request within one incarnation of the entry that took
// it from its caller.
type RequestID uint64

// AttemptID identifies one dispatch of a request to an endpoint.
type AttemptID struct {
	Request RequestID
	// Number counts from 1.
	Number int
}

// String returns the form that is sent to endpoints, "request.attempt".
func (a AttemptID) String() string {
	return strconv.FormatUint(uint64(a.Request), 10) + "." + strconv.Itoa(a.Number)
}
