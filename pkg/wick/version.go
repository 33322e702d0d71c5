package wick

import "time"

// A LoadBand classes the load of a service in a zone, so that overload is not
// attributed to a version.
type LoadBand uint8

// Bands of load: in-flight work per slot below a half, below 0.9, and above.
const (
	BandLow LoadBand = iota
	BandMid
	BandHigh
)

// A VersionSample is the end of one attempt on a chosen version.
type VersionSample struct {
	VM   VMID
	Zone Zone
	Band LoadBand
	Out  Outcome
	// Excused is set when the attempt says nothing about the version: it was
	// not sent, or its endpoint was leaving.
	Excused bool
	At      time.Time
}

// A VersionChoice is the version chosen for one attempt.
type VersionChoice struct {
	Version ModelVersion
	// Fallback serves when no endpoint of Version can take the attempt.
	Fallback ModelVersion
	// Candidate is set when Version is under evaluation.
	Candidate bool
	// Done is nil when no evidence is wanted. Otherwise it must be called
	// exactly once, also when the attempt was not made.
	Done func(smp VersionSample)
}

// A Versions chooses versions for new attempts.
type Versions interface {
	Choose(query RouteQuery) VersionChoice
}
