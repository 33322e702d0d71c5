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

// statusEvery bounds the writes of a zone's status.
const statusEvery = 2 * time.Second

// A ZoneStatus is the value of the object status/<zone>: which entries of the
// zone have which bundle version in force.
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

// A statusWriter writes the status of a zone when it has changed.
type statusWriter struct {
	last     []MemberStatus
	revision wick.Revision
}

// statusLoop writes the zone's status while this entry watches the platform
// for its zone.
func (ent *Entry) statusLoop(ctx context.Context) {
	wtr := &statusWriter{}
	every(ctx, statusEvery, func(ctx context.Context) {
		if !ent.view.ShouldWatch(time.Now()) {
			wtr.last = nil
			return
		}
		entries := ent.zoneEntries()
		if slices.Equal(entries, wtr.last) {
			return
		}
		if err := ent.writeStatus(ctx, wtr, entries); err != nil {
			logrus.WithError(err).Debug("entry: zone status not written")
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
			// A member that is heard shares this entry's way to the platform.
			out = append(out, MemberStatus{ID: mem.ID, State: mem.State, Bundle: mem.Bundle, Confirmed: act.Confirmed})
		}
	}
	return out
}

// writeStatus writes the status over whatever is there: the last writer has
// the newest view, and the next change corrects an older one.
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
