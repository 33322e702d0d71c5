// Package plan holds the plan that an edge serves by and finds the route and
// the customer of a request. It does no I/O.
package plan

import (
	"errors"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Sentinel errors of Current.Find.
var (
	// ErrNoPlan reports that no plan is known yet.
	ErrNoPlan = errors.New("no plan yet")
	// ErrNoRoute reports that no route matches the host and path.
	ErrNoRoute = errors.New("no such route")
	// ErrNoCustomer reports a key that belongs to no customer.
	ErrNoCustomer = errors.New("unknown key")
)

// A Table is one plan with its indexes. It is immutable.
type Table struct {
	Plan wick.Plan
	// routes holds the routes of each host, the longest prefix first.
	routes    map[string][]*wick.RoutePlan
	customers map[wick.CallerKey]*wick.CustomerPlan
	services  map[wick.Service]*wick.ServicePlan
}

// NewTable indexes a plan.
func NewTable(pln wick.Plan) *Table {
	tbl := &Table{
		Plan:      pln,
		routes:    make(map[string][]*wick.RoutePlan),
		customers: make(map[wick.CallerKey]*wick.CustomerPlan),
		services:  make(map[wick.Service]*wick.ServicePlan),
	}
	for idx := range pln.Routes {
		rpl := &pln.Routes[idx]
		host := strings.ToLower(rpl.Host)
		tbl.routes[host] = append(tbl.routes[host], rpl)
	}
	for _, list := range tbl.routes {
		sort.SliceStable(list, func(idx, jdx int) bool { return len(list[idx].PathPrefix) > len(list[jdx].PathPrefix) })
	}
	for idx := range pln.Customers {
		cus := &pln.Customers[idx]
		for _, key := range cus.Keys {
			tbl.customers[key] = cus
		}
	}
	for idx := range pln.Services {
		tbl.services[pln.Services[idx].Name] = &pln.Services[idx]
	}
	return tbl
}

// Route returns the route with the longest prefix of the path, or nil.
func (tbl *Table) Route(host, path string) *wick.RoutePlan {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, rpl := range tbl.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, rpl.PathPrefix) {
			return rpl
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (tbl *Table) Service(name wick.Service) *wick.ServicePlan { return tbl.services[name] }

// Customer returns the customer of a key, or nil.
func (tbl *Table) Customer(key wick.CallerKey) *wick.CustomerPlan { return tbl.customers[key] }

// CustomerNamed returns a customer by name, or nil.
func (tbl *Table) CustomerNamed(name wick.Customer) *wick.CustomerPlan {
	for idx := range tbl.Plan.Customers {
		if tbl.Plan.Customers[idx].Name == name {
			return &tbl.Plan.Customers[idx]
		}
	}
	return nil
}

// Choose draws a service of the route by weight.
func Choose(rpl *wick.RoutePlan) wick.Service {
	if len(rpl.Splits) == 1 {
		return rpl.Splits[0].Service
	}
	var total float64
	for _, spl := range rpl.Splits {
		total += spl.Weight
	}
	left := rand.Float64() * total //nolint:gosec // a share of traffic, no secret
	for _, spl := range rpl.Splits {
		if left -= spl.Weight; left < 0 {
			return spl.Service
		}
	}
	return rpl.Splits[len(rpl.Splits)-1].Service
}

// A Match is the route and customer of one request.
type Match struct {
	Table *Table
	Route *wick.RoutePlan
	// Customer is nil for requests of public routes without a known key.
	Customer *wick.CustomerPlan
}

// Rank returns the urgency of the request.
func (mat Match) Rank() wick.Rank {
	if mat.Customer != nil && mat.Customer.HasRank {
		return mat.Customer.Rank
	}
	return mat.Route.Rank
}

// A Current holds the newest plan. Its zero value holds none.
type Current struct {
	tbl atomic.Pointer[Table]
}

// Adopt takes a plan if it is newer than the current one, and reports whether
// it was.
func (cur *Current) Adopt(pln wick.Plan) bool {
	next := NewTable(pln)
	for {
		old := cur.tbl.Load()
		if old != nil && old.Plan.Version >= pln.Version {
			return false
		}
		if cur.tbl.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Load returns the current plan, or nil.
func (cur *Current) Load() *Table { return cur.tbl.Load() }

// Find returns the route and customer of a request, or ErrNoPlan, ErrNoRoute or
// ErrNoCustomer.
func (cur *Current) Find(host, path string, key wick.CallerKey) (Match, error) {
	tbl := cur.Load()
	if tbl == nil {
		return Match{}, ErrNoPlan
	}
	rpl := tbl.Route(host, path)
	if rpl == nil {
		return Match{}, ErrNoRoute
	}
	mat := Match{Table: tbl, Route: rpl, Customer: tbl.Customer(key)}
	if mat.Customer == nil && !rpl.Public && len(tbl.Plan.Customers) > 0 {
		return Match{}, ErrNoCustomer
	}
	return mat, nil
}
