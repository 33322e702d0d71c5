package pool

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/logs"
)

// noRoomMillis is the cost of an endpoint without free memory for a request, whose engine has
// to preempt a run or queue the request until one has ended.
const noRoomMillis = 1000.0

// memory returns the tokens of memory that a request needs.
func (que *Query) memory() float64 {
	return float64(que.InputTokens) + max(float64(que.OutputTokens), que.Expected.High)
}

// lacksRoom reports whether a request needs more memory than the endpoint has free: the free
// memory of its last report less the needs of the requests that were sent since then.
func (end *endpoint) lacksRoom(que *Query) bool {
	return float64(end.report.FreeMemory)-end.sends.memory < que.memory()
}

// noteMemory logs that an endpoint begins or ceases to be short of memory.
func (end *endpoint) noteMemory(rep *Report) {
	if rep.MemoryShort == end.report.MemoryShort {
		return
	}
	msg := logs.MsgMemoryShort
	if !rep.MemoryShort {
		msg = logs.MsgMemoryFree
	}
	metrics.GetOrRegisterCounter("pool.memoryChanges", nil).Inc(1)
	log.WithFields(logrus.Fields{
		logs.FieldEndpoint: end.bke.ID, "freeTokens": rep.FreeMemory, "running": rep.Load.Running, "waiting": rep.Load.Waiting,
	}).Info(msg)
}
