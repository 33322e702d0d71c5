package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// statusInterval is the minimum time between writes of a zone's status.
const statusInterval = 2 * time.Second

// A ZoneStatus is the value of the object status/<zone>: the active bundle
// version of each entry of the zone.
type ZoneStatus struct {
	Zone    wick.Zone      `json:"zone"`
	Entries []MemberStatus `json:"entries"`
	// Reporter is the entry that wrote the status.
	Reporter wick.EntryID `json:"reporter"`
	WriteID  wick.WriteID `json:"writeId"`
	At       time.Time    `json:"at"`
}

// A MemberStatus is one entry of a ZoneStatus.
type MemberStatus struct {
	ID        wick.EntryID       `json:"id"`
	State     wick.EntryState    `json:"state"`
	Bundle    wick.BundleVersion `json:"bundle"`
	Confirmed bool               `json:"confirmed"`
}

// A statusWriter is the status of a zone that was written last.
type statusWriter struct {
	last     []MemberStatus
	revision wick.Revision
}

// statusLoop writes the zone's status while this entry polls the platform on
// behalf of its zone.
func (ent *Entry) statusLoop(ctx context.Context) {
	wtr := &statusWriter{}
	every(ctx, statusInterval, func(ctx context.Context) {
		if !ent.view.ShouldWatch(time.Now()) {
			wtr.last = nil
			return
		}
		entries := ent.zoneEntries()
		if slices.Equal(entries, wtr.last) {
			return
		}
		if err := ent.writeStatus(ctx, wtr, entries); err != nil {
			logrus.WithError(err).Debug("entry: writing the zone status failed")
		}
	})
}

func (ent *Entry) zoneEntries() []MemberStatus {
	act, ok := ent.config.Active()
	own := MemberStatus{ID: ent.self.ID, State: ent.State(), Confirmed: act.Confirmed}
	if ok {
		own.Bundle = act.Bundle.Version
	}
	out := []MemberStatus{own}
	for _, mem := range ent.view.Live(time.Now()) {
		if mem.Zone == ent.self.Zone {
			// A live member of the zone can reach the platform if this entry can,
			// so this entry's confirmation applies to it too.
			out = append(out, MemberStatus{ID: mem.ID, State: mem.State, Bundle: mem.Bundle, Confirmed: act.Confirmed})
		}
	}
	return out
}

// writeStatus overwrites the stored status: the last writer has the newest
// view, and the next change corrects a stale one.
func (ent *Entry) writeStatus(ctx context.Context, wtr *statusWriter, entries []MemberStatus) error {
	key := wick.ObjectKey{Kind: wick.KindStatus, Name: string(ent.self.Zone)}
	data, err := json.Marshal(ZoneStatus{
		Zone: ent.self.Zone, Entries: entries, Reporter: ent.self.ID, WriteID: wick.NewWriteID(), At: time.Now(),
	})
	if err != nil {
		return err
	}
	rev, err := ent.store.Put(ctx, key, data, wtr.revision)
	if errors.Is(err, wick.ErrConflict) || errors.Is(err, wick.ErrUnavailable) {
		obj, gerr := ent.store.Get(ctx, key)
		switch {
		case errors.Is(gerr, wick.ErrNotFound):
			wtr.revision = 0
		case gerr == nil:
			wtr.revision = obj.Revision
		}
		return err
	}
	if err == nil {
		wtr.revision, wtr.last = rev, entries
	}
	return err
}
