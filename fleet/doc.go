// Package fleet holds the vocabulary shared by every other package: services,
// pools, instances, members and the identifiers that name them. It has types
// and small pure methods only; it decides nothing and does no I/O.
package fleet
