package bundle

import (
	"encoding/hex"
	"fmt"
	"math"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Limits of a bundle.
const (
	// maxLedgerShards keeps the ledger's writes to the platform, at most 20/s
	// per shard, within the platform's sustained write rate.
	maxLedgerShards = 64
	maxMillis       = wick.Millis(24 * time.Hour / time.Millisecond)
	maxCount        = 1 << 20
)

// A checker collects the faults of one bundle.
type checker struct {
	bnd Bundle
	fts FaultErrors
	// services maps names to the first service of that name.
	services map[wick.Service]Service
}

// Check returns the faults that can be detected from the bundle alone. Deadlines
// are not compared with the clock, since an entry may adopt a bundle at any
// later time.
func Check(bnd Bundle) FaultErrors {
	chk := checker{bnd: bnd, services: make(map[wick.Service]Service)}
	if bnd.Version == 0 {
		addf(&chk.fts, "$.version", "must be at least 1")
	} else if bnd.Replaces != bnd.Version-1 {
		addf(&chk.fts, "$.replaces", "is %d, version %d must replace %d", bnd.Replaces, bnd.Version, bnd.Version-1)
	}
	if bnd.LedgerShards < 1 || bnd.LedgerShards > maxLedgerShards {
		addf(&chk.fts, "$.ledgerShards", "is %d, must be from 1 to %d", bnd.LedgerShards, maxLedgerShards)
	}
	chk.checkServices()
	chk.checkClasses()
	chk.checkCustomers()
	chk.checkMoves()
	chk.checkFleet()
	return chk.fts
}

// CheckNext returns the faults of a bundle that is submitted at the given time
// as the successor of prev. A nil prev means that there is no predecessor.
func CheckNext(bnd Bundle, prev *Bundle, now time.Time) FaultErrors {
	fts := Check(bnd)
	var last wick.BundleVersion
	if prev != nil {
		last = prev.Version
		if bnd.LedgerShards != prev.LedgerShards {
			addf(&fts, "$.ledgerShards", "is %d, must stay %d as in version %d", bnd.LedgerShards, prev.LedgerShards, last)
		}
	}
	if bnd.Version != last+1 {
		addf(&fts, "$.version", "is %d, must follow the last version %d", bnd.Version, last)
	}
	for idx, mov := range bnd.Moves {
		path := fmt.Sprintf("$.moves[%d].deadline", idx)
		earliest := now.Add(mov.WatchMillis.Duration())
		if !mov.Deadline.IsZero() && !mov.Deadline.After(earliest) {
			addf(&fts, path, "%s is not after %s, the time of submission plus watchMillis",
				mov.Deadline.Format(time.RFC3339), earliest.UTC().Format(time.RFC3339))
		}
	}
	return fts
}

// checkName reports an empty or duplicate name and records a valid one in seen.
func (chk *checker) checkName(seen map[string]int, path, name string, idx int) {
	if name == "" {
		addf(&chk.fts, path, "must not be empty")
		return
	}
	if first, ok := seen[name]; ok {
		addf(&chk.fts, path, "%q is already the name of element %d", name, first)
		return
	}
	seen[name] = idx
}

func (chk *checker) checkServices() {
	seen := make(map[string]int)
	if len(chk.bnd.Services) == 0 {
		addf(&chk.fts, "$.services", "must not be empty")
	}
	for idx, svc := range chk.bnd.Services {
		path := fmt.Sprintf("$.services[%d]", idx)
		chk.checkName(seen, path+".name", string(svc.Name), idx)
		if _, ok := chk.services[svc.Name]; !ok {
			chk.services[svc.Name] = svc
		}
		if svc.Kind != KindModel && svc.Kind != KindPlain {
			addf(&chk.fts, path+".kind", "is %q, must be %q or %q", svc.Kind, KindModel, KindPlain)
		}
		if len(svc.Versions) == 0 {
			addf(&chk.fts, path+".versions", "must not be empty")
		}
		names := make(map[string]int)
		for jdx, ver := range svc.Versions {
			chk.checkName(names, fmt.Sprintf("%s.versions[%d]", path, jdx), string(ver), jdx)
		}
		if _, ok := names[string(svc.Active)]; !ok {
			addf(&chk.fts, path+".active", "%q is not one of the service's versions", svc.Active)
		}
		chk.checkCalls(path, svc)
		chk.checkMillis(path+".targets.firstTokenMillis", svc.Targets.FirstTokenMillis)
		chk.checkMillis(path+".targets.betweenTokensMillis", svc.Targets.BetweenTokensMillis)
		chk.checkMillis(path+".targets.replyMillis", svc.Targets.ReplyMillis)
	}
}

func (chk *checker) checkCalls(path string, svc Service) {
	if svc.Kind == KindModel && len(svc.Calls) > 0 {
		addf(&chk.fts, path+".calls", "is for plain services only")
	}
	for idx, call := range svc.Calls {
		sub := fmt.Sprintf("%s.calls[%d]", path, idx)
		if call.Method == "" {
			addf(&chk.fts, sub+".method", "must not be empty")
		}
		if call.Path == "" || call.Path[0] != '/' {
			addf(&chk.fts, sub+".path", "%q must begin with /", call.Path)
		}
	}
}

func (chk *checker) checkMillis(path string, mil wick.Millis) {
	if mil < 0 || mil > maxMillis {
		addf(&chk.fts, path, "is %d, must be from 0 to %d", mil, maxMillis)
	}
}

func (chk *checker) checkClasses() {
	seen := make(map[string]int)
	for idx, cls := range chk.bnd.Classes {
		path := fmt.Sprintf("$.classes[%d]", idx)
		chk.checkName(seen, path+".name", string(cls.Name), idx)
		if _, ok := chk.services[cls.Service]; !ok {
			addf(&chk.fts, path+".service", "%q is not a service of the bundle", cls.Service)
		}
		if cls.Slots < 1 || cls.Slots > maxCount {
			addf(&chk.fts, path+".slots", "is %d, must be from 1 to %d", cls.Slots, maxCount)
		}
	}
}

func (chk *checker) checkCustomers() {
	seen, hashes := make(map[string]int), make(map[string]int)
	for idx, cus := range chk.bnd.Customers {
		path := fmt.Sprintf("$.customers[%d]", idx)
		chk.checkName(seen, path+".name", string(cus.Name), idx)
		raw, err := hex.DecodeString(cus.KeyHash)
		switch first, dup := hashes[string(raw)]; {
		case err != nil || len(raw) != 32:
			addf(&chk.fts, path+".keyHash", "must be 64 hexadecimal digits")
		case dup:
			addf(&chk.fts, path+".keyHash", "is already the key hash of customer %d", first)
		default:
			hashes[string(raw)] = idx
		}
		if cus.Weight < 1 || cus.Weight > maxCount {
			addf(&chk.fts, path+".weight", "is %d, must be from 1 to %d", cus.Weight, maxCount)
		}
		if cus.MaxInFlight < 0 {
			addf(&chk.fts, path+".maxInFlight", "must not be negative")
		}
		if cus.MaxPerSecond < 0 || math.IsNaN(cus.MaxPerSecond) || math.IsInf(cus.MaxPerSecond, 0) {
			addf(&chk.fts, path+".maxPerSecond", "must not be negative")
		}
	}
}

func (chk *checker) checkMoves() {
	seen, moved := make(map[string]int), make(map[wick.Service]int)
	for idx, mov := range chk.bnd.Moves {
		path := fmt.Sprintf("$.moves[%d]", idx)
		chk.checkName(seen, path+".name", mov.Name, idx)
		svc, ok := chk.services[mov.Service]
		if !ok {
			addf(&chk.fts, path+".service", "%q is not a service of the bundle", mov.Service)
		} else {
			if first, dup := moved[mov.Service]; dup {
				addf(&chk.fts, path+".service", "%q already has move %d", mov.Service, first)
			} else {
				moved[mov.Service] = idx
			}
			chk.checkMoveVersions(path, svc, mov)
		}
		if mov.Deadline.IsZero() {
			addf(&chk.fts, path+".deadline", "must be set")
		}
		if shr := float64(mov.MaxShareBeforeProof); !(shr > 0 && shr <= 1) {
			addf(&chk.fts, path+".maxShareBeforeProof", "is %v, must be above 0 and at most 1", shr)
		}
		chk.checkMillis(path+".watchMillis", mov.WatchMillis)
	}
}

// checkMoveVersions checks the source and target version of a move.
func (chk *checker) checkMoveVersions(path string, svc Service, mov wick.Move) {
	var hasFrom, hasTo bool
	for _, ver := range svc.Versions {
		hasFrom = hasFrom || ver == mov.From
		hasTo = hasTo || ver == mov.To
	}
	switch {
	case !hasFrom:
		addf(&chk.fts, path+".from", "%q is not a version of service %q", mov.From, svc.Name)
	case mov.From != svc.Active:
		addf(&chk.fts, path+".from", "%q must be the active version %q", mov.From, svc.Active)
	}
	switch {
	case !hasTo:
		addf(&chk.fts, path+".to", "%q is not a version of service %q", mov.To, svc.Name)
	case mov.From == mov.To:
		addf(&chk.fts, path+".to", "must differ from the version in from")
	}
}
