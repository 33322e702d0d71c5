package wick

import "time"

// A Move takes a service's traffic from one version to another.
type Move struct {
	Name    string       `json:"name"`
	Service Service      `json:"service"`
	From    ModelVersion `json:"from"`
	To      ModelVersion `json:"to"`
	// Deadline is when all traffic must be on To; otherwise the move is undone.
	Deadline time.Time `json:"deadline"`
	// MaxShareBeforeProof bounds the share of To until it is proved.
	MaxShareBeforeProof Share `json:"maxShareBeforeProof"`
	// WatchMillis is how long To is watched after the last step.
	WatchMillis Millis `json:"watchMillis,omitempty"`
}
