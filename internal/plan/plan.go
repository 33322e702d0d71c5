// Package plan stores the current plan of an edge and resolves the route and the
// customer of a request. It does no I/O.
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
	// ErrNoPlan reports that no plan has been adopted yet.
	ErrNoPlan = errors.New("no plan yet")
	// ErrNoRoute reports that no route matches the host and path.
	ErrNoRoute = errors.New("no such route")
	// ErrNoCustomer reports a key that belongs to no customer.
	ErrNoCustomer = errors.New("unknown key")
)

// A Table is an immutable plan with its lookup indexes.
type Table struct {
	Plan wick.Plan
	// routes holds the routes of each host, the longest prefix first.
	routes    map[string][]*wick.RoutePlan
	customers map[wick.CallerKey]*wick.CustomerPlan
	services  map[wick.Service]*wick.ServicePlan
}

// NewTable returns a Table that indexes a plan.
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

// Choose selects a service of the route at random by weight.
func Choose(rpl *wick.RoutePlan) wick.Service {
	if len(rpl.Splits) == 1 {
		return rpl.Splits[0].Service
	}
	var total float64
	for _, spl := range rpl.Splits {
		total += spl.Weight
	}
	remaining := rand.Float64() * total //nolint:gosec // load distribution needs no cryptographic randomness
	for _, spl := range rpl.Splits {
		if remaining -= spl.Weight; remaining < 0 {
			return spl.Service
		}
	}
	return rpl.Splits[len(rpl.Splits)-1].Service
}

// A Match is the route and customer of one request.
type Match struct {
	Table *Table
	Route *wick.RoutePlan
	// Customer is nil for requests to public routes without a known key.
	Customer *wick.CustomerPlan
}

// Rank returns the rank of the customer if it has one, or else that of the route.
func (mat Match) Rank() wick.Rank {
	if mat.Customer != nil && mat.Customer.HasRank {
		return mat.Customer.Rank
	}
	return mat.Route.Rank
}

// A Current holds the current plan. Its zero value has none. It is safe for
// concurrent use.
type Current struct {
	tbl atomic.Pointer[Table]
}

// Adopt replaces the current plan if the given one has a higher version, and
// reports whether it did.
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

// Find resolves the route and customer of a request. It returns ErrNoPlan,
// ErrNoRoute or ErrNoCustomer if it can't.
func (cur *Current) Find(host, path string, key wick.CallerKey) (Match, error) {
	return cur.find(host, path, func(tbl *Table) *wick.CustomerPlan { return tbl.Customer(key) })
}

// FindNamed is Find for a request of a customer that is given by its name.
func (cur *Current) FindNamed(host, path string, cus wick.Customer) (Match, error) {
	return cur.find(host, path, func(tbl *Table) *wick.CustomerPlan { return tbl.CustomerNamed(cus) })
}

// find resolves the route of a request, and its customer by customerOf, which returns nil
// for an unknown one.
func (cur *Current) find(host, path string, customerOf func(tbl *Table) *wick.CustomerPlan) (Match, error) {
	tbl := cur.Load()
	if tbl == nil {
		return Match{}, ErrNoPlan
	}
	rpl := tbl.Route(host, path)
	if rpl == nil {
		return Match{}, ErrNoRoute
	}
	mat := Match{Table: tbl, Route: rpl, Customer: customerOf(tbl)}
	if mat.Customer == nil && !rpl.Public && len(tbl.Plan.Customers) > 0 {
		return Match{}, ErrNoCustomer
	}
	return mat, nil
}
