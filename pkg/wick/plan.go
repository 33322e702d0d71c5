package wick

import (
	"slices"
	"time"
)

type (
	// A RouteName names one route of a plan.
	RouteName string
	// A CallerKey is the secret that authenticates a caller as a customer.
	CallerKey string
	// A PlanVersion numbers the versions of the plan. Zero is no version.
	PlanVersion uint64
	// A Rank orders requests by urgency: 0 is the most urgent.
	Rank int
)

// A RouteKind determines whether requests of a route may run more than once.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run any number of times.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a series of events.
	RouteStream RouteKind = "stream"
)

// A Plan is the serving configuration of an edge. It is immutable.
type Plan struct {
	Version PlanVersion
	// Routes of one host have distinct path prefixes.
	Routes    []RoutePlan
	Services  []ServicePlan
	Customers []CustomerPlan
	// MaxBodyBytes bounds the body of a request; 0 leaves the bound to the entry.
	MaxBodyBytes int64
	// IdleTimeout is how long callers may leave a connection idle before they use it
	// again; 0 leaves the limit to the entry.
	IdleTimeout time.Duration
	// HeaderTimeout is how long callers may take for the header of a request; 0 leaves
	// the limit to the entry.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request; 0 leaves the bound to the entry.
	MaxHeaderBytes int
}

// A RoutePlan sends the requests of a host and path prefix to services.
type RoutePlan struct {
	Name RouteName
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Splits is not empty.
	Splits []Split
	// Timeout bounds the time until the final answer; 0 is no bound.
	Timeout time.Duration
	// Target is the latency objective: to the first event of a stream, to
	// the whole answer otherwise.
	Target time.Duration
	// TargetGap is the longest pause between two events with which a stream still meets
	// its latency objective; 0 is no bound.
	TargetGap time.Duration
	// MaxAttempts is the number of endpoints that may run one request.
	MaxAttempts int
	Rank        Rank
	// Public routes require no key.
	Public bool
	// Resumable streams may continue on another endpoint after their last
	// event.
	Resumable bool
	// Regions are the only ones whose endpoints may receive the route's requests, all
	// regions if it is empty.
	Regions []Region
}

// Repeatable reports whether a request of the route may run more than once.
func (rpl *RoutePlan) Repeatable() bool {
	return rpl.Kind == RouteIdempotent || rpl.Kind == RouteStream && rpl.Resumable
}

// A Split is the part of a route's requests that goes to one service.
type Split struct {
	Service Service
	// Weight is relative to the other splits of the route and positive.
	Weight float64
}

// A ServicePlan describes one service.
type ServicePlan struct {
	Name Service
	// Model is set for services whose endpoints generate tokens.
	Model bool
	// ColdStart is how long an endpoint is cold after its start, 0 if it never is.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that all entries together may send to
	// a cold endpoint, 0 for no limit.
	ColdRate float64
	// Scaling is nil when wagtailwick doesn't manage the number of endpoints.
	Scaling *ScalingPlan
}

// A ScalingPlan bounds the endpoints of a service in each zone.
type ScalingPlan struct {
	Min, Max int
	// BootTime is the time from ordering an endpoint until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a reclaimable endpoint as a share of the
	// zone's price.
	SpotPrice float64
	// ZonePrices holds the price per second by zone.
	ZonePrices map[Zone]float64
}

// A CustomerPlan describes one customer.
type CustomerPlan struct {
	Name Customer
	Keys []CallerKey
	// Rank replaces the route's rank if HasRank is set.
	Rank    Rank
	HasRank bool
	Quota   Quota
	// Regions restrict the endpoints like those of a route. Both apply.
	Regions []Region
}

// A Quota limits the request rate of a customer across all entries.
type Quota struct {
	// Rate is in units per second, 0 for no limit. Burst is in units.
	Rate, Burst float64
	// ByTokens charges a request its number of tokens, or PlainTokens if it
	// has none. Otherwise a request costs 1.
	ByTokens    bool
	PlainTokens float64
}

// A Backend is one endpoint as the platform's registry lists it.
type Backend struct {
	ID      VMID
	Service Service
	Zone    Zone
	// Address is "host:port".
	Address string
	Version ModelVersion
	Slots   int
	// Leaving is set once the endpoint accepts no new work.
	Leaving bool
	// LeavesIn is the remaining lifetime when the registry entry was written,
	// 0 if unknown.
	LeavesIn    time.Duration
	Reclaimable bool
	// Born distinguishes successive starts of an endpoint with the same id.
	Born int64
	// ColdFor is how much longer the endpoint was going to be cold when the registry entry
	// was written. ColdKnown is set if the entry states it, also as 0.
	ColdFor   time.Duration
	ColdKnown bool
}

// A VersionOrder requests the move of a service to endpoints of a version.
type VersionOrder struct {
	Service Service
	Target  ModelVersion
	// Within is the time limit of the move.
	Within time.Duration
	// Number counts the orders of the service. It distinguishes orders of the same
	// version.
	Number int
	// State is "" until one is recorded for this very order.
	State VersionOrderState
	// Withheld are the versions of earlier orders that were rolled back, or replaced before
	// they were proved. They get no requests until they are ordered again.
	Withheld []ModelVersion
	// Proved are the versions of earlier orders that were done. A version of an earlier
	// order that is in neither list was replaced before any state was recorded.
	Proved []ModelVersion
	// Revision is that at which the order was read. A state is recorded only as long as
	// the order is still the newest of its service.
	Revision Revision
}

// IsSame reports whether two values are of the same order, whatever its state is.
func (vor *VersionOrder) IsSame(oth *VersionOrder) bool {
	return vor.Service == oth.Service && vor.Target == oth.Target && vor.Within == oth.Within && vor.Number == oth.Number
}

// Withhold adds versions to those that are withheld, but not the order's own.
func (vor *VersionOrder) Withhold(vers ...ModelVersion) {
	vor.Withheld, vor.Proved = moveVersions(vor.Withheld, vor.Proved, vor.Target, vers)
}

// Prove adds versions to those of earlier orders that were done, but not the order's own.
func (vor *VersionOrder) Prove(vers ...ModelVersion) {
	vor.Proved, vor.Withheld = moveVersions(vor.Proved, vor.Withheld, vor.Target, vers)
}

// moveVersions returns to with vers added and from without them, and leaves out the version
// own. It changes neither list.
func moveVersions(to, from []ModelVersion, own ModelVersion, vers []ModelVersion) (added, rest []ModelVersion) {
	to, from = slices.Clip(to), slices.Clone(from)
	for _, ver := range vers {
		if ver == "" || ver == own {
			continue
		}
		if !slices.Contains(to, ver) {
			to = append(to, ver)
		}
		from = slices.DeleteFunc(from, func(oth ModelVersion) bool { return oth == ver })
	}
	return to, from
}

// Repeated returns the order that follows if the operator issues the same one again.
func (vor *VersionOrder) Repeated() VersionOrder {
	out := *vor
	out.Number++
	out.State = ""
	return out
}

// Ended reports whether the move is recorded as done or rolled back.
func (vor *VersionOrder) Ended() bool { return vor.State == OrderDone || vor.State == OrderRolledBack }
