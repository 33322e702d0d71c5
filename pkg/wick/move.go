package wick

import "time"

// A Move shifts a service's traffic from one version to another.
type Move struct {
	Name    string       `json:"name"`
	Service Service      `json:"service"`
	From    ModelVersion `json:"from"`
	To      ModelVersion `json:"to"`
	// Deadline is when all traffic must be on To; otherwise the move is rolled
	// back.
	Deadline time.Time `json:"deadline"`
	// MaxShareBeforeProof bounds the traffic share of To until the evidence
	// suffices to accept it.
	MaxShareBeforeProof Share `json:"maxShareBeforeProof"`
	// WatchMillis is the observation period of To after the last step.
	WatchMillis Millis `json:"watchMillis,omitempty"`
}
