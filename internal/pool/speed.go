package pool

import (
	"math"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/pace"
)

// A speedClass classifies an endpoint by its pace. Keys are assigned to endpoints by
// their classes, since a key that moves to another endpoint loses its cached prompts, and
// a factor varies. An endpoint of a class is assigned four times the keys of one of the
// next slower class: at twice the speed, one with twice the work still has half the
// queueing delay, so the share of keys grows faster than the speed.
type speedClass int

const (
	speedEven speedClass = iota
	speedFast
	speedSlow
)

const (
	// fastFactor and slowFactor bound the factors of the classes.
	fastFactor = 0.7
	slowFactor = 1.4
)

// classOf returns the class of a pace. An unknown pace is even.
func classOf(est pace.Estimate) speedClass {
	switch {
	case est.Factor > 0 && est.Factor < fastFactor:
		return speedFast
	case est.Factor > slowFactor:
		return speedSlow
	default:
		return speedEven
	}
}

func (cls speedClass) String() string {
	return [...]string{speedEven: "even", speedFast: "fast", speedSlow: "slow"}[cls]
}

// score returns the rank of an endpoint of the class for a key whose hash with the
// endpoint is given. By weighted rendezvous hashing, the endpoint with the highest score is
// assigned the key: the score is the hash as a number below 1, to the power of 1/weight.
func (cls speedClass) score(hash uint64) float64 {
	num := float64(hash>>11) / (1 << 53)
	switch cls {
	case speedFast:
		return math.Sqrt(math.Sqrt(num))
	case speedSlow:
		return num * num * num * num
	case speedEven:
	}
	return num
}

// setPace sets the class of the endpoint, and logs and counts a change.
func (end *endpoint) setPace(est pace.Estimate) {
	cls := classOf(est)
	if cls == end.class {
		return
	}
	metrics.GetOrRegisterCounter("pool.speedChanges", nil).Inc(1)
	log.WithFields(logrus.Fields{logs.FieldEndpoint: end.bke.ID, "speed": cls.String(), "factor": est.Factor, "stalls": est.Stalls}).Info(logs.MsgEndpointSpeed)
	end.class = cls
}
