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
	// settleTime passes between the end of a window and its report, so that
	// the entries' counts of it have been published and read.
	settleTime = 3 * time.Second
	// publishTime passes between the end of a window and the last record of it.
	publishTime = 2200 * time.Millisecond
	// reportLead is how long before the end of its time a window is reported
	// although the counts of some entries are missing.
	reportLead = 3 * time.Second
	// callTimeout bounds a call; a holder makes none that could end after its
	// lease.
	callTimeout = time.Second
)

var reportKey = wick.ObjectKey{Kind: wick.KindUsage, Name: "last"}

// A note is the value of the object that holds the newest report. It is
// written before the report is sent, so that the next holder repeats the same
// counts instead of sending others for the same window.
type note struct {
	Report wick.UsageReport `json:"report"`
	Fence  wick.Fence       `json:"fence"`
	// Sent is set once the report was acknowledged.
	Sent bool `json:"sent"`
}

// A Reporter sends the reports while its entry holds the duty. One goroutine
// calls Step.
type Reporter struct {
	Store  wick.Store
	Duties wick.Duties
	// Window is the length of a window, Late the time after its end at which
	// its report is of no more use.
	Window, Late time.Duration
	// Sum returns the counts of a window over all entries.
	Sum func(num uint64) map[wick.Customer]int
	// ReadAt returns when the entries' counts were last read, the zero time if
	// never. Windows that ended later are not reported. It may be nil.
	ReadAt func() time.Time
	// Complete reports whether all entries have published their final counts of
	// a window. A window that is not complete waits for the entries that can't
	// reach the store for a while. It may be nil.
	Complete func(num uint64) bool

	fence wick.Fence
	// known is set once the object was read under this fence.
	known bool
	cur   note
	rev   wick.Revision
}

// Step sends what is due. It is called with the fencing number while the duty
// is held.
func (rpt *Reporter) Step(ctx context.Context, fence wick.Fence, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fence != rpt.fence {
		rpt.fence, rpt.known = fence, false
	}
	if !rpt.known {
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
	if err := rpt.save(ctx, note{Report: rep, Fence: fence}); err != nil {
		return err
	}
	return rpt.send(ctx)
}

// due returns the next window to report.
func (rpt *Reporter) due(now time.Time) (uint64, bool) {
	last := WindowOf(now.Add(-settleTime), rpt.Window) - 1
	if rpt.ReadAt != nil {
		read := rpt.ReadAt()
		if read.IsZero() {
			return 0, false
		}
		last = min(last, WindowOf(read.Add(-publishTime), rpt.Window)-1)
	}
	first := WindowOf(now.Add(-rpt.Late), rpt.Window)
	if rpt.rev != 0 {
		first = max(first, rpt.cur.Report.Window+1)
	}
	return first, first <= last && !rpt.waits(first, now)
}

// waits reports whether a window is held back for counts that are missing.
func (rpt *Reporter) waits(num uint64, now time.Time) bool {
	if rpt.Complete == nil || rpt.Complete(num) {
		return false
	}
	return now.Before(EndOf(num, rpt.Window).Add(rpt.Late - reportLead))
}

func (rpt *Reporter) load(ctx context.Context) error {
	obj, err := rpt.Store.Get(ctx, reportKey)
	if errors.Is(err, wick.ErrNotFound) {
		rpt.known, rpt.cur, rpt.rev = true, note{}, 0
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "usage: read")
	}
	var cur note
	if err := json.Unmarshal(obj.Data, &cur); err != nil {
		return eris.Wrap(err, "usage: decode")
	}
	rpt.known, rpt.cur, rpt.rev = true, cur, obj.Revision
	return nil
}

// save writes the object. After an error it is read again before the next use.
func (rpt *Reporter) save(ctx context.Context, next note) error {
	data, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "usage: encode")
	}
	rev, err := rpt.Store.Put(ctx, reportKey, data, rpt.rev)
	if err != nil {
		rpt.known = false
		return eris.Wrap(err, "usage: write")
	}
	rpt.cur, rpt.rev = next, rev
	return nil
}

// send reports what the object holds. A repeat is harmless.
func (rpt *Reporter) send(ctx context.Context) error {
	rep := rpt.cur.Report
	if err := rpt.Duties.ReportUsage(ctx, rpt.fence, rep); err != nil {
		return eris.Wrap(err, "usage: report")
	}
	log.WithFields(logrus.Fields{"window": rep.Window, "fence": rpt.fence}).Info("usage: reported")
	// Whether the report was sent is kept in memory only: a new holder sends
	// it once more.
	rpt.cur.Sent = true
	return nil
}
