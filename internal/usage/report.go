package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "usage")

const (
	// reportDelay is the delay between the end of a window and its report, so
	// that the entries' counts have been published and read.
	reportDelay = 3 * time.Second
	// publishDelay is the delay after the end of a window until all entries have
	// published their final counts.
	publishDelay = 2200 * time.Millisecond
	// reportLead is how long before its report expires a window is reported even
	// though the counts of some entries are missing.
	reportLead = 3 * time.Second
	// callTimeout bounds one step, so that its calls end before the lease of
	// the duty does.
	callTimeout = time.Second
)

var reportKey = wick.ObjectKey{Kind: wick.KindUsage, Name: "last"}

// A record is the stored form of the latest report. It is written before the
// report is sent, so that the next holder of the duty repeats the same counts
// instead of sending different ones for the same window.
type record struct {
	Report wick.UsageReport `json:"report"`
	Fence  wick.Fence       `json:"fence"`
	// Sent is set once the report has been acknowledged.
	Sent bool `json:"sent"`
}

// A Reporter sends the reports while its entry holds the duty. It is not safe for
// concurrent use.
type Reporter struct {
	Store  wick.Store
	Duties wick.Duties
	// Window is the length of a window, ExpireAfter the time after its end at which
	// its report expires.
	Window, ExpireAfter time.Duration
	// Sum returns the counts of a window summed over all entries.
	Sum func(num uint64) map[wick.Customer]int
	// ReadAt returns when the entries' counts were last read, the zero time if
	// never. Only windows whose counts were final by then are reported. It may
	// be nil.
	ReadAt func() time.Time
	// Complete reports whether all entries have published their final counts of
	// a window. The report of an incomplete window is delayed for entries that
	// temporarily can't reach the store. It may be nil.
	Complete func(num uint64) bool

	fence wick.Fence
	// loaded is set once the record has been read under this fence, and reset
	// after a failed write.
	loaded bool
	cur    record
	rev    wick.Revision
}

// Step sends an unacknowledged report or else the next one that is due. It is
// called with the fencing token while the entry holds the duty.
func (rpt *Reporter) Step(ctx context.Context, fence wick.Fence, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fence != rpt.fence {
		rpt.fence, rpt.loaded = fence, false
	}
	if !rpt.loaded {
		if err := rpt.load(ctx); err != nil {
			return err
		}
	}
	if rpt.rev != 0 && !rpt.cur.Sent {
		return rpt.send(ctx)
	}
	num, ok := rpt.due(now)
	if !ok {
		return nil
	}
	rep := wick.UsageReport{Window: num, Counts: rpt.Sum(num)}
	if err := rpt.save(ctx, record{Report: rep, Fence: fence}); err != nil {
		return err
	}
	return rpt.send(ctx)
}

// due returns the next window to report, and whether it can be reported now.
func (rpt *Reporter) due(now time.Time) (uint64, bool) {
	last := WindowOf(now.Add(-reportDelay), rpt.Window) - 1
	if rpt.ReadAt != nil {
		read := rpt.ReadAt()
		if read.IsZero() {
			return 0, false
		}
		last = min(last, WindowOf(read.Add(-publishDelay), rpt.Window)-1)
	}
	first := WindowOf(now.Add(-rpt.ExpireAfter), rpt.Window)
	if rpt.rev != 0 {
		first = max(first, rpt.cur.Report.Window+1)
	}
	return first, first <= last && !rpt.delayed(first, now)
}

// delayed reports whether the report of a window is delayed for missing counts.
func (rpt *Reporter) delayed(num uint64, now time.Time) bool {
	if rpt.Complete == nil || rpt.Complete(num) {
		return false
	}
	return now.Before(EndOf(num, rpt.Window).Add(rpt.ExpireAfter - reportLead))
}

func (rpt *Reporter) load(ctx context.Context) error {
	obj, err := rpt.Store.Get(ctx, reportKey)
	if errors.Is(err, wick.ErrNotFound) {
		rpt.loaded, rpt.cur, rpt.rev = true, record{}, 0
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "usage: read the latest report")
	}
	var cur record
	if err := json.Unmarshal(obj.Data, &cur); err != nil {
		return eris.Wrap(err, "usage: decode the latest report")
	}
	rpt.loaded, rpt.cur, rpt.rev = true, cur, obj.Revision
	return nil
}

// save writes the record. After an error, the record is read again before its next
// use.
func (rpt *Reporter) save(ctx context.Context, next record) error {
	data, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "usage: encode a report")
	}
	rev, err := rpt.Store.Put(ctx, reportKey, data, rpt.rev)
	if err != nil {
		rpt.loaded = false
		return eris.Wrap(err, "usage: write a report")
	}
	rpt.cur, rpt.rev = next, rev
	return nil
}

// send sends the recorded report. It is idempotent.
func (rpt *Reporter) send(ctx context.Context) error {
	rep := rpt.cur.Report
	if err := rpt.Duties.ReportUsage(ctx, rpt.fence, rep); err != nil {
		return eris.Wrap(err, "usage: send a report")
	}
	log.WithFields(logrus.Fields{"window": rep.Window, "fence": rpt.fence}).Info("usage: reported")
	// The acknowledgement is kept in memory only: a new holder sends the report
	// again.
	rpt.cur.Sent = true
	return nil
}
