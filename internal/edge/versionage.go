package edge

import (
	"sync"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// versionRetention is how long a version is remembered that is not listed any more.
const versionRetention = 10 * time.Minute

// versionAges records when the versions of services were first listed. Its zero value is ready
// to use.
//
// Endpoints of a version are started shortly before it is ordered. Until the order is read, the
// version would get requests like any other. A version that appears while others serve
// therefore gets none for the time within which an order that was written is read, unless the
// others can't serve.
type versionAges struct {
	mu       sync.Mutex
	services map[wick.Service]map[wick.ModelVersion]*versionAge
}

// A versionAge is when a version was listed.
type versionAge struct {
	// isFirst is set for the versions that were listed with the first of their service.
	isFirst     bool
	first, last time.Time
}

// list records all endpoints.
func (ags *versionAges) list(bkes []wick.Backend, now time.Time) {
	for idx := range bkes {
		ags.add(&bkes[idx], now)
	}
}

// add records an endpoint.
func (ags *versionAges) add(bke *wick.Backend, now time.Time) {
	if bke.Version == "" {
		return
	}
	ags.mu.Lock()
	defer ags.mu.Unlock()
	if ags.services == nil {
		ags.services = make(map[wick.Service]map[wick.ModelVersion]*versionAge)
	}
	ages := ags.services[bke.Service]
	if ages == nil {
		ages = make(map[wick.ModelVersion]*versionAge)
		ags.services[bke.Service] = ages
	}
	age := ages[bke.Version]
	if age == nil {
		age = &versionAge{first: now, isFirst: isFirstList(ages, now)}
		ages[bke.Version] = age
	}
	age.last = now
	for ver, old := range ages {
		if now.Sub(old.last) > versionRetention {
			delete(ages, ver)
		}
	}
}

// isFirstList reports whether all of a service's versions were first listed at a time.
func isFirstList(ages map[wick.ModelVersion]*versionAge, now time.Time) bool {
	for _, age := range ages {
		if !age.first.Equal(now) {
			return false
		}
	}
	return true
}

// recent returns the versions of a service that were first listed less than a time ago, but not
// with the first ones.
func (ags *versionAges) recent(svc wick.Service, within time.Duration, now time.Time) []wick.ModelVersion {
	ags.mu.Lock()
	defer ags.mu.Unlock()
	var out []wick.ModelVersion
	for ver, age := range ags.services[svc] {
		if !age.isFirst && now.Sub(age.first) < within {
			out = append(out, ver)
		}
	}
	return out
}

// withoutNew returns a choice that avoids the versions that have just appeared, but for one that
// it requires.
func (rls *rollouts) withoutNew(svc wick.Service, choice relay.Choice, now time.Time) relay.Choice {
	for _, ver := range rls.versions.recent(svc, rls.edg.stableWindow(), now) {
		if ver != choice.Only {
			choice.Avoid = append(choice.Avoid, ver)
		}
	}
	return choice
}
