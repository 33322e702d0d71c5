// Package bundle defines the bundle: the versioned, signed document in which
// operators describe services, model versions, customers and moves.
package bundle

import (
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Bundle is one version of the operators' document. Its JSON field names are
// camel case, and unknown fields are rejected.
type Bundle struct {
	// Version is one more than Replaces.
	Version wick.BundleVersion `json:"version"`
	// Replaces is the version that this one is based on; 0 for the first.
	Replaces wick.BundleVersion `json:"replaces"`
	// WriteID identifies the submission, which distinguishes a lost response
	// from a conflict with another write.
	WriteID wick.WriteID `json:"writeId,omitempty"`
	// LedgerShards is set by the first version and never changes, since a
	// change would remap keys to other shards.
	LedgerShards int `json:"ledgerShards"`
	// Services have unique names.
	Services []Service `json:"services"`
	// Classes have unique names.
	Classes []Class `json:"classes"`
	// Customers have unique names and unique key hashes.
	Customers []Customer `json:"customers"`
	// Moves have unique names. A service has at most one move.
	Moves []wick.Move `json:"moves,omitempty"`
	// Fleet is nil when wagtailwick must not start or stop endpoints.
	Fleet *Fleet `json:"fleet,omitempty"`
}

// A ServiceKind is the protocol by which a service is called.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// A Service is one service offered to callers.
type Service struct {
	Name wick.Service `json:"name"`
	Kind ServiceKind  `json:"kind"`
	// Versions lists the versions that may serve. It is not empty.
	Versions []wick.ModelVersion `json:"versions"`
	// Active is the version that serves outside of moves. It is in Versions.
	Active wick.ModelVersion `json:"active"`
	// Calls is set for plain services only. The first match applies; a call
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
	// Slots is the number of calls that an endpoint runs concurrently.
	Slots int `json:"slots"`
	// ChecksFence is set when the endpoints reject outdated fencing tokens.
	ChecksFence bool `json:"checksFence,omitempty"`
	// ReportsNotExecuted is set when an explicit refusal by the endpoints
	// guarantees that the call did not run.
	ReportsNotExecuted bool `json:"reportsNotExecuted,omitempty"`
}

// A Customer is one customer of the services.
type Customer struct {
	Name wick.Customer `json:"name"`
	// KeyHash is the SHA-256 of the customer's key, in hex.
	KeyHash string `json:"keyHash"`
	// Weight is the customer's weight in fair sharing, at least 1.
	Weight int `json:"weight"`
	// MaxInFlight limits the in-flight requests on one entry; 0 is no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxPerSecond limits the rate of new requests on one entry; 0 is no
	// limit.
	MaxPerSecond float64 `json:"maxPerSecond,omitempty"`
}

// A Fleet specifies the endpoints that the fleet duty maintains. Services that
// it does not list are not managed.
type Fleet struct {
	// Zones are the availability zones for endpoints. They are unique.
	Zones []wick.Zone `json:"zones"`
	// StoreBytesPerSecond is the download rate of the weight store.
	StoreBytesPerSecond int64 `json:"storeBytesPerSecond"`
	// Offers lists the VM types for sale. Each pair of Class and Reclaimable
	// appears once.
	Offers []Offer `json:"offers"`
	// Services have unique names. They are model services.
	Services []FleetService `json:"services"`
}

// An Offer is a class of VMs that the cloud sells in every zone of a Fleet.
type Offer struct {
	Class       wick.Class `json:"class"`
	Reclaimable bool       `json:"reclaimable"`
	// Price is the expected price where no listed VM shows the current one.
	Price wick.Price `json:"price"`
}

// A FleetService limits the endpoints of a service.
type FleetService struct {
	Service wick.Service `json:"service"`
	// Min and Max limit the number of VMs. Leaving VMs count until they have
	// terminated.
	Min int `json:"min"`
	Max int `json:"max"`
	// MaxPrice limits the price of a VM to start; 0 is no limit.
	MaxPrice wick.Price `json:"maxPrice,omitempty"`
	// WeightBytes is the size of a version in the weight store.
	WeightBytes int64 `json:"weightBytes,omitempty"`
}
