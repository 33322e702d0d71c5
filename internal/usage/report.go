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
	// clockMargin is added to the time by which an earlier holder's report may have
	// been written, since the entries' clocks differ.
	clockMargin = 500 * time.Millisecond
)

var reportKey = wick.ObjectKey{Kind: wick.KindUsage, Name: "last"}

// A record is the stored form of the latest report. It is written before the
// report is sent, so that the next holder of the duty repeats the same counts
// instead of sending different ones for the same window.
type record struct {
	Report wick.UsageReport `json:"report"`
	Fence  wick.Fence       `json:"fence"`
	// Era is the store's era when the record was written. In a record of an earlier
	// era than its revision's, later reports may have been discarded by a restore.
	Era wick.Era `json:"era,omitempty"`
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
	// EraSince returns the newest era of the store that this entry has observed, and
	// when it first did. It is nil if the store is never restored.
	EraSince func() (wick.Era, time.Time)

	fence wick.Fence
	// loaded is set once the record has been read under this fence, and reset
	// after a failed write.
	loaded bool
	// cur is the latest report that is known, if reported is set. It is later than the
	// stored one after a restore of the store; unsaved is set until it is written again.
	cur               record
	reported, unsaved bool
	// rev is the revision of the stored record, 0 if there is none.
	rev wick.Revision
	// knownFence is the fencing token under which the record was first read. The reports
	// of earlier holders that were due by discardedBy may be missing from that record.
	knownFence  wick.Fence
	discardedBy time.Time
}

// Load reads the latest report, so that it is known even if the store is restored before
// the first step. It is called with the fencing token once the entry holds the duty.
func (rpt *Reporter) Load(ctx context.Context, fence wick.Fence, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpt.load(ctx, fence, now)
}

// Step sends an unacknowledged report or else the next one that is due. It is
// called with the fencing token while the entry holds the duty.
func (rpt *Reporter) Step(ctx context.Context, fence wick.Fence, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := rpt.load(ctx, fence, now); err != nil {
		return err
	}
	if rpt.unsaved {
		if err := rpt.save(ctx, rpt.cur); err != nil {
			return err
		}
	}
	if rpt.reported && !rpt.cur.Sent {
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
	if rpt.reported {
		first = max(first, rpt.cur.Report.Window+1)
	}
	if !rpt.discardedBy.IsZero() {
		first = max(first, WindowOf(rpt.discardedBy.Add(-reportDelay), rpt.Window))
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

// load reads the record unless it is known under the fencing token.
func (rpt *Reporter) load(ctx context.Context, fence wick.Fence, now time.Time) error {
	if rpt.loaded && fence == rpt.fence {
		return nil
	}
	rpt.fence, rpt.loaded = fence, false
	obj, err := rpt.Store.Get(ctx, reportKey)
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		return eris.Wrap(err, "usage: read the latest report")
	}
	var stored record
	found := err == nil
	if found {
		if err := json.Unmarshal(obj.Data, &stored); err != nil {
			return eris.Wrap(err, "usage: decode the latest report")
		}
	}
	if fence != rpt.knownFence {
		rpt.knownFence, rpt.discardedBy = fence, rpt.mayLack(stored, obj.Revision, now)
	}
	rpt.loaded, rpt.rev = true, obj.Revision
	if found && (!rpt.reported || stored.Report.Window >= rpt.cur.Report.Window) {
		rpt.cur, rpt.reported = stored, true
	}
	rpt.unsaved = rpt.reported && (!found || rpt.cur.Report.Window > stored.Report.Window)
	return nil
}

// mayLack returns the time by which reports that the record lacks may have been written,
// the zero time if it is the latest. Reports are written before they are sent, so that
// those that a restore discarded were due before this entry saw the new era.
func (rpt *Reporter) mayLack(stored record, rev wick.Revision, now time.Time) time.Time {
	var era wick.Era
	var since time.Time
	if rpt.EraSince != nil {
		era, since = rpt.EraSince()
	}
	switch {
	case rev == 0 && era == 0 || rev != 0 && stored.Era == rev.Era():
		return time.Time{}
	case rev.Era() > era:
		since = now
	}
	return since.Add(clockMargin)
}

// save writes the record. After an error, the record is read again before its next
// use.
func (rpt *Reporter) save(ctx context.Context, next record) error {
	if EndOf(next.Report.Window, rpt.Window).Add(reportDelay).After(rpt.discardedBy) {
		next.Era = rpt.storeEra()
	}
	data, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "usage: encode a report")
	}
	rev, err := rpt.Store.Put(ctx, reportKey, data, rpt.rev)
	if err != nil {
		rpt.loaded = false
		return eris.Wrap(err, "usage: write a report")
	}
	rpt.cur, rpt.rev, rpt.reported, rpt.unsaved = next, rev, true, false
	return nil
}

// storeEra returns the era of the store in which the record is written.
func (rpt *Reporter) storeEra() wick.Era {
	if rpt.rev == 0 && rpt.EraSince != nil {
		era, _ := rpt.EraSince()
		return era
	}
	return rpt.rev.Era()
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
