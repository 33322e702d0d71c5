package bundle

import (
	"fmt"
	"math"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxBytes is the largest integer that JSON parsers which use float64 represent
// exactly.
const maxBytes = 1<<53 - 1

func (chk *checker) checkFleet() {
	flt := chk.bnd.Fleet
	if flt == nil {
		return
	}
	if len(flt.Zones) == 0 {
		addf(&chk.fts, "$.fleet.zones", "must not be empty")
	}
	zones := make(map[string]int)
	for idx, zone := range flt.Zones {
		chk.checkName(zones, fmt.Sprintf("$.fleet.zones[%d]", idx), string(zone), idx)
	}
	if flt.StoreBytesPerSecond < 1 || flt.StoreBytesPerSecond > maxBytes {
		addf(&chk.fts, "$.fleet.storeBytesPerSecond", "is %d, must be from 1 to %d", flt.StoreBytesPerSecond, int64(maxBytes))
	}
	chk.checkOffers(flt.Offers)
	seen := make(map[string]int)
	for idx, fsv := range flt.Services {
		path := fmt.Sprintf("$.fleet.services[%d]", idx)
		chk.checkName(seen, path+".service", string(fsv.Service), idx)
		chk.checkFleetService(path, fsv)
	}
}

func (chk *checker) checkOffers(ofs []Offer) {
	classes := make(map[wick.Class]bool)
	for _, cls := range chk.bnd.Classes {
		classes[cls.Name] = true
	}
	seen := make(map[string]int)
	for idx, off := range ofs {
		path := fmt.Sprintf("$.fleet.offers[%d]", idx)
		if !classes[off.Class] {
			addf(&chk.fts, path+".class", "%q is not a class of the bundle", off.Class)
		}
		key := fmt.Sprintf("%s reclaimable %t", off.Class, off.Reclaimable)
		if first, ok := seen[key]; ok {
			addf(&chk.fts, path, "repeats offer %d", first)
		}
		seen[key] = idx
		if prc := float64(off.Price); !(prc > 0) || math.IsInf(prc, 0) {
			addf(&chk.fts, path+".price", "is %v, must be above 0", prc)
		}
	}
}

func (chk *checker) checkFleetService(path string, fsv FleetService) {
	svc, ok := chk.services[fsv.Service]
	switch {
	case !ok:
		addf(&chk.fts, path+".service", "%q is not a service of the bundle", fsv.Service)
	case svc.Kind != KindModel:
		addf(&chk.fts, path+".service", "%q is not a model service", fsv.Service)
	}
	if fsv.Max < 1 || fsv.Max > maxCount {
		addf(&chk.fts, path+".max", "is %d, must be from 1 to %d", fsv.Max, maxCount)
	}
	if fsv.Min < 0 || fsv.Min > fsv.Max {
		addf(&chk.fts, path+".min", "is %d, must be from 0 to max", fsv.Min)
	}
	if prc := float64(fsv.MaxPrice); !(prc >= 0) || math.IsInf(prc, 0) {
		addf(&chk.fts, path+".maxPrice", "must not be negative")
	}
	if fsv.WeightBytes < 0 || fsv.WeightBytes > maxBytes {
		addf(&chk.fts, path+".weightBytes", "is %d, must be from 0 to %d", fsv.WeightBytes, int64(maxBytes))
	}
}
