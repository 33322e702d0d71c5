package bundle

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Failed reads and writes are retried with exponential backoff. The delays add
// up to 6.35 s, which covers lost responses and short outages.
const (
	maxAttempts    = 8
	initialBackoff = 50 * time.Millisecond
)

// A Client reads and writes the bundle objects on behalf of operators.
type Client struct {
	Store wick.Store
	Keys  Keys
	Clock wick.Clock
}

// An VersionInfo describes one version for the list and show commands.
type VersionInfo struct {
	Version   wick.BundleVersion `json:"version"`
	Submitter KeyName            `json:"submitter"`
	// Signer is empty until a second operator has signed.
	Signer KeyName `json:"signer,omitempty"`
	// Fault is the reason why the version can't take effect, or is empty.
	Fault  string `json:"fault,omitempty"`
	Bundle Bundle `json:"bundle"`
}

func (ent *VersionInfo) setFault(err error) {
	if err != nil {
		ent.Fault = err.Error()
	}
}

// A ConflictError reports that a concurrent write won, and by whom. It matches
// wick.ErrConflict.
type ConflictError struct {
	Kind    wick.Kind
	Version wick.BundleVersion
	Winner  KeyName
}

// Error returns a message that names the winner.
func (cfe *ConflictError) Error() string {
	return fmt.Sprintf("%s/%d was already written by %q", cfe.Kind, cfe.Version, cfe.Winner)
}

// Unwrap returns wick.ErrConflict.
func (cfe *ConflictError) Unwrap() error { return wick.ErrConflict }

// Key returns the key of a version's object.
func Key(kind wick.Kind, ver wick.BundleVersion) wick.ObjectKey {
	return wick.ObjectKey{Kind: kind, Name: strconv.FormatUint(uint64(ver), 10)}
}

// ParseName returns the version encoded in an object's name.
func ParseName(name string) (wick.BundleVersion, bool) {
	num, err := strconv.ParseUint(name, 10, 64)
	return wick.BundleVersion(num), err == nil && num > 0 && strconv.FormatUint(num, 10) == name
}

// Submit stores a bundle as a new version that is pending a signature. The
// write id is generated if it is empty. The error is a *ConflictError if another
// write of the version came first.
func (cli *Client) Submit(ctx context.Context, sgr Signer, bnd Bundle) (Bundle, error) {
	var prev *Bundle
	if bnd.Version > 1 {
		old, _, err := cli.submission(ctx, bnd.Version-1)
		if err != nil {
			return Bundle{}, eris.Wrapf(err, "preceding version %d", bnd.Version-1)
		}
		prev = &old
	}
	if bnd.WriteID == "" {
		bnd.WriteID = wick.NewWriteID()
	}
	if err := CheckNext(bnd, prev, cli.Clock.Now()).err(); err != nil {
		return Bundle{}, err
	}
	data, err := sgr.Submission(bnd)
	if err != nil {
		return Bundle{}, err
	}
	if _, _, err := cli.Keys.VerifySubmission(bnd.Version, data); err != nil {
		return Bundle{}, err
	}
	err = cli.create(ctx, Key(wick.KindBundle, bnd.Version), data, func(stored []byte) (KeyName, bool) {
		sub, err := decodeSubmission(stored)
		if err != nil {
			return "", false
		}
		other, err := Decode(sub.Bundle)
		return sub.Submitter, err == nil && sub.Submitter == sgr.Name && other.WriteID == bnd.WriteID
	})
	if err != nil {
		return Bundle{}, err
	}
	return bnd, nil
}

// Sign signs a version, which makes it effective. The signature covers the
// bytes that are read here.
func (cli *Client) Sign(ctx context.Context, sgr Signer, ver wick.BundleVersion) error {
	bnd, data, err := cli.submission(ctx, ver)
	if err != nil {
		return err
	}
	if ver > 1 {
		prev, _, err := cli.submission(ctx, ver-1)
		if err != nil {
			return eris.Wrapf(err, "preceding version %d", ver-1)
		}
		if prev.LedgerShards != bnd.LedgerShards {
			return FaultErrors{{Path: "$.ledgerShards", Message: fmt.Sprintf("must stay %d", prev.LedgerShards)}}
		}
	}
	wid := wick.NewWriteID()
	sum, err := sgr.Sign(ver, data, wid)
	if err != nil {
		return err
	}
	if _, err := cli.Keys.Verify(Signed{Version: ver, Submission: data, Signature: sum}); err != nil {
		return err
	}
	return cli.create(ctx, Key(wick.KindSignature, ver), sum, func(stored []byte) (KeyName, bool) {
		var sig Signature
		if decodeStrict(stored, &sig) != nil {
			return "", false
		}
		return sig.Signer, sig.WriteID == wid
	})
}

// Show returns one version.
func (cli *Client) Show(ctx context.Context, ver wick.BundleVersion) (VersionInfo, error) {
	ent := VersionInfo{Version: ver}
	obj, err := cli.get(ctx, Key(wick.KindBundle, ver))
	if err != nil {
		return ent, err
	}
	var fault error
	ent.Bundle, ent.Submitter, fault = cli.Keys.VerifySubmission(ver, obj.Data)
	ent.setFault(fault)
	if ent.Fault != "" {
		return ent, nil
	}
	sig, err := cli.get(ctx, Key(wick.KindSignature, ver))
	if errors.Is(err, wick.ErrNotFound) {
		return ent, nil
	}
	if err != nil {
		return ent, err
	}
	_, fault = cli.Keys.Verify(Signed{Version: ver, Submission: obj.Data, Signature: sig.Data})
	ent.setFault(fault)
	if ent.Fault != "" {
		return ent, nil
	}
	var dec Signature
	if err := decodeStrict(sig.Data, &dec); err != nil {
		return ent, err
	}
	ent.Signer = dec.Signer
	return ent, nil
}

// List returns all versions in ascending order.
func (cli *Client) List(ctx context.Context) ([]VersionInfo, error) {
	var objs []wick.Object
	err := retry(ctx, func() error {
		var err error
		objs, _, err = cli.Store.List(ctx, wick.KindBundle)
		return err
	})
	if err != nil {
		return nil, err
	}
	var vers []wick.BundleVersion
	for _, obj := range objs {
		if ver, ok := ParseName(obj.Key.Name); ok {
			vers = append(vers, ver)
		}
	}
	slices.Sort(vers)
	out := make([]VersionInfo, 0, len(vers))
	for _, ver := range vers {
		ent, err := cli.Show(ctx, ver)
		if err != nil {
			return nil, err
		}
		out = append(out, ent)
	}
	return out, nil
}

// Undo submits the content of an older version as a new, higher version. Moves
// whose deadline can no longer be met are omitted, since they would be rolled
// back at once.
func (cli *Client) Undo(ctx context.Context, sgr Signer, ver wick.BundleVersion) (Bundle, error) {
	old, err := cli.Show(ctx, ver)
	if err != nil {
		return Bundle{}, err
	}
	if old.Signer == "" {
		return Bundle{}, eris.Wrapf(wick.ErrInvalid, "version %d was never in force", ver)
	}
	all, err := cli.List(ctx)
	if err != nil {
		return Bundle{}, err
	}
	last := ver
	if len(all) > 0 {
		last = max(last, all[len(all)-1].Version)
	}
	bnd := old.Bundle
	bnd.Version, bnd.Replaces, bnd.WriteID = last+1, last, ""
	now := cli.Clock.Now()
	bnd.Moves = slices.DeleteFunc(slices.Clone(bnd.Moves), func(mov wick.Move) bool {
		return !mov.Deadline.After(now.Add(mov.WatchMillis.Duration()))
	})
	return cli.Submit(ctx, sgr, bnd)
}

// submission reads and verifies the submission of a version.
func (cli *Client) submission(ctx context.Context, ver wick.BundleVersion) (Bundle, []byte, error) {
	obj, err := cli.get(ctx, Key(wick.KindBundle, ver))
	if err != nil {
		return Bundle{}, nil, err
	}
	bnd, _, err := cli.Keys.VerifySubmission(ver, obj.Data)
	return bnd, obj.Data, err
}

func (cli *Client) get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	var obj wick.Object
	err := retry(ctx, func() error {
		var err error
		obj, err = cli.Store.Get(ctx, key)
		return err
	})
	return obj, eris.Wrapf(err, "read %s/%s", key.Kind, key.Name)
}

// create writes an object that must not exist. After an error it reads the
// object back; identify returns the stored value's writer and whether it is this
// write.
func (cli *Client) create(ctx context.Context, key wick.ObjectKey, data []byte, identify func([]byte) (KeyName, bool)) error {
	return retry(ctx, func() error {
		_, err := cli.Store.Put(ctx, key, data, 0)
		if err == nil || errors.Is(err, wick.ErrInvalid) {
			return err
		}
		obj, readErr := cli.Store.Get(ctx, key)
		if readErr != nil {
			// Not found after a conflict is a stale read. Retrying the write
			// is safe, since it only creates.
			return eris.Wrapf(wick.ErrUnavailable, "write %s/%s: outcome unknown", key.Kind, key.Name)
		}
		winner, isOwn := identify(obj.Data)
		if isOwn {
			return nil
		}
		ver, _ := ParseName(key.Name)
		return &ConflictError{Kind: key.Kind, Version: ver, Winner: winner}
	})
}

// retry retries an operation while it returns wick.ErrUnavailable, up to
// maxAttempts times, with exponential backoff.
func retry(ctx context.Context, op func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := op()
		if !errors.Is(err, wick.ErrUnavailable) || attempt == maxAttempts {
			return err
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return err
		}
		backoff *= 2
	}
}
