// Package fleet holds the vocabulary shared by every other package: services,
// pools, instances, members and the identifiers that name them. It has only
// types and small pure functions: no decisions and no I/O.
package fleet
