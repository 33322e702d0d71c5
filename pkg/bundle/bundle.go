// Package bundle defines the bundle: the versioned, signed document in which
// operators describe services, model versions, customers and moves.
package bundle

import (
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Bundle is one version of the operators' document. Field names in JSON are
// camel case, unknown fields are refused.
type Bundle struct {
	// Version is one more than Replaces.
	Version wick.BundleVersion `json:"version"`
	// Replaces is the version that the operator started from; 0 for the first.
	Replaces wick.BundleVersion `json:"replaces"`
	// WriteID identifies the submission, so that a lost answer can be told
	// from a lost race.
	WriteID wick.WriteID `json:"writeId,omitempty"`
	// LedgerShards is fixed by the first version and never changes, since a
	// change would hash keys to other shards.
	LedgerShards int `json:"ledgerShards"`
	// Services have unique names.
	Services []Service `json:"services"`
	// Classes have unique names.
	Classes []Class `json:"classes"`
	// Customers have unique names and unique key hashes.
	Customers []Customer `json:"customers"`
	// Moves have unique names. A service has at most one move.
	Moves []wick.Move `json:"moves,omitempty"`
	// Fleet is nil when the endpoints are not to be changed.
	Fleet *Fleet `json:"fleet,omitempty"`
}

// A ServiceKind tells how a service is called.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// A Service is one service that callers reach.
type Service struct {
	Name wick.Service `json:"name"`
	Kind ServiceKind  `json:"kind"`
	// Versions lists the versions that may serve. It is not empty.
	Versions []wick.ModelVersion `json:"versions"`
	// Active is the version that serves outside of moves. It is in Versions.
	Active wick.ModelVersion `json:"active"`
	// Calls is set for plain services only. The first match decides; a call
	// that matches none is not idempotent.
	Calls []Call `json:"calls,omitempty"`
	// Deduplicates is set when the endpoints deduplicate by idempotency key.
	Deduplicates bool    `json:"deduplicates,omitempty"`
	Targets      Targets `json:"targets"`
}

// A Call describes calls of a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is a prefix of the path below the service.
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Targets are latency targets of a service.
type Targets struct {
	FirstTokenMillis    wick.Millis `json:"firstTokenMillis,omitempty"`
	BetweenTokensMillis wick.Millis `json:"betweenTokensMillis,omitempty"`
	// ReplyMillis is the target for whole replies of plain services.
	ReplyMillis wick.Millis `json:"replyMillis,omitempty"`
}

// A Class is one class of endpoints.
type Class struct {
	Name    wick.Class   `json:"name"`
	Service wick.Service `json:"service"`
	// Slots is how many calls an endpoint runs at once.
	Slots int `json:"slots"`
	// ChecksFence is set when the endpoints refuse old fencing numbers.
	ChecksFence bool `json:"checksFence,omitempty"`
	// ReportsNotExecuted is set when the endpoints' explicit refusals mean
	// that the call did not run.
	ReportsNotExecuted bool `json:"reportsNotExecuted,omitempty"`
}

// A Customer is one customer of the services.
type Customer struct {
	Name wick.Customer `json:"name"`
	// KeyHash is the SHA-256 of the customer's key, in hex.
	KeyHash string `json:"keyHash"`
	// Weight is the customer's weight in fair sharing, at least 1.
	Weight int `json:"weight"`
	// MaxInFlight bounds requests at once on one entry; 0 is no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxPerSecond bounds new requests on one entry; 0 is no bound.
	MaxPerSecond float64 `json:"maxPerSecond,omitempty"`
}

// A Fleet says which endpoints the fleet duty holds. Services that it does not
// name are left alone.
type Fleet struct {
	// Zones are the availability zones for endpoints. They are unique.
	Zones []wick.Zone `json:"zones"`
	// StoreBytesPerSecond is the rate of the weight store.
	StoreBytesPerSecond int64 `json:"storeBytesPerSecond"`
	// Offers lists what the cloud sells. A class and kind appears once.
	Offers []Offer `json:"offers"`
	// Services have unique names. They are model services.
	Services []FleetService `json:"services"`
}

// An Offer is a class of VMs that the cloud sells in every zone of a Fleet.
type Offer struct {
	Class       wick.Class `json:"class"`
	Reclaimable bool       `json:"reclaimable"`
	// Price is expected where no VM of the list shows the current price.
	Price wick.Price `json:"price"`
}

// A FleetService bounds the endpoints of a service.
type FleetService struct {
	Service wick.Service `json:"service"`
	// Min and Max bound the VMs. Leaving VMs count until they have ended.
	Min int `json:"min"`
	Max int `json:"max"`
	// MaxPrice bounds the price of a VM that is started; 0 is no bound.
	MaxPrice wick.Price `json:"maxPrice,omitempty"`
	// WeightBytes is the size of a version in the weight store.
	WeightBytes int64 `json:"weightBytes,omitempty"`
}
