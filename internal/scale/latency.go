package scale

const (
	// defaultUtilization applies while the length of requests is unknown.
	defaultUtilization = 0.28
	// tailFactor is the 95th percentile of the queueing delay as a multiple of its
	// mean, for exponentially distributed delays.
	tailFactor = 3.0
	// headroom is the fraction of the utilization at which the latency objective
	// is just met that endpoints are scaled to. The rest absorbs bursts, failing
	// endpoints and an uneven distribution of the requests.
	headroom = 0.5
	// The target utilization is bounded, since the length of requests varies.
	minUtilization = 0.15
	maxUtilization = 0.42
	// slotUtilization is the fraction of occupied slots to which endpoints are
	// scaled.
	slotUtilization = 0.5
)

// targetUtilization returns the utilization to which endpoints are scaled. The mean
// queueing delay of a single server at utilization u is u/(1-u) times the mean work
// of a request. The 95th percentile of it and the work have to fit into the latency
// objective.
func (sta *State) targetUtilization() float64 {
	if sta.MeanWork <= 0 || sta.Target <= 0 {
		return defaultUtilization
	}
	ratio := float64(sta.Target-sta.MeanWork) / (tailFactor * float64(sta.MeanWork))
	if ratio <= 0 {
		return minUtilization
	}
	return min(max(headroom*ratio/(1+ratio), minUtilization), maxUtilization)
}
