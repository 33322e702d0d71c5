// Package invar asserts invariants. A violation is counted and logged in
// production and fails the run in tests.
package invar

import (
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// A Name names one invariant.
type Name string

// Invariants of the eight guarantees.
const (
	AcceptedSurvives Name = "acceptedSurvives"
	CandidateShare   Name = "candidateShare"
	StopIsFinal      Name = "stopIsFinal"
	WholeAnswer      Name = "wholeAnswer"
	RefusalTruth     Name = "refusalTruth"
	AtMostOnce       Name = "atMostOnce"
	NoWorkToLeaving  Name = "noWorkToLeaving"
	VersionGrows     Name = "versionGrows"
	SignedOnly       Name = "signedOnly"
)

// Invariants of fleet scaling.
const (
	FleetBound    Name = "fleetBound"
	FleetOneStart Name = "fleetOneStart"
	FleetFence    Name = "fleetFence"
	FleetNeeded   Name = "fleetNeeded"
	FleetZoneLoss Name = "fleetZoneLoss"
)

// A Checker checks invariants, and logs and counts their violations. The zero
// value is ready to use.
type Checker struct {
	mu sync.Mutex
	// OnViolation is called for every violation if it is not nil. Tests set
	// it to fail the run.
	OnViolation func(name Name, detail string)
	// counts holds violations by name.
	counts map[Name]int64
}

// Check records a violation of the invariant unless holds is true. It returns
// holds, so that the caller can abort the operation.
func (chk *Checker) Check(holds bool, name Name, format string, args ...any) bool {
	if holds {
		return true
	}
	detail := fmt.Sprintf(format, args...)
	chk.mu.Lock()
	if chk.counts == nil {
		chk.counts = make(map[Name]int64)
	}
	chk.counts[name]++
	handler := chk.OnViolation
	chk.mu.Unlock()
	metrics.GetOrRegisterCounter("invar.violations."+string(name), nil).Inc(1)
	logrus.WithField("invariant", string(name)).Error("invar: violated: " + detail)
	if handler != nil {
		handler(name, detail)
	}
	return false
}

// Counts returns the number of violations by invariant.
func (chk *Checker) Counts() map[Name]int64 {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	out := make(map[Name]int64, len(chk.counts))
	for name, num := range chk.counts {
		out[name] = num
	}
	return out
}
