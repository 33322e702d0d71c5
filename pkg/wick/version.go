package wick

import "time"

// A LoadBand classifies the load of a service in a zone, so that the effects of
// overload are not attributed to a version.
type LoadBand uint8

// Bands of load: in-flight work per slot below a half, below 0.9, and above.
const (
	BandLow LoadBand = iota
	BandMid
	BandHigh
)

// A VersionSample is the result of one attempt on a chosen version.
type VersionSample struct {
	VM   VMID
	Zone Zone
	Band LoadBand
	Out  Outcome
	// Excluded is set when the attempt is no evidence about the version: it was
	// not sent, or its endpoint was leaving.
	Excluded bool
	At       time.Time
}

// A VersionChoice is the version chosen for one attempt.
type VersionChoice struct {
	Version ModelVersion
	// Fallback is used when no endpoint of Version can accept the attempt.
	Fallback ModelVersion
	// Candidate is set when Version is under evaluation.
	Candidate bool
	// Done is nil when no sample is needed. Otherwise it must be called exactly
	// once, even if the attempt was not made.
	Done func(smp VersionSample)
}

// A VersionChooser selects the versions for new attempts.
type VersionChooser interface {
	Choose(query RouteQuery) VersionChoice
}
