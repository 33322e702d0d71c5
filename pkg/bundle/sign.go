package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Domain separation prefixes: a signature made for one purpose is not valid for
// the other.
const (
	submitDomain = "wagtailwick bundle submission v1\x00"
	signDomain   = "wagtailwick bundle signature v1\x00"
)

// A KeyName is the name of an operator's key in the settings.
type KeyName string

// Keys are the trusted public keys of the operators, in base64, as in the
// settings.
type Keys map[KeyName]string

// A Signer is an operator's private key and its name.
type Signer struct {
	Name KeyName
	Key  ed25519.PrivateKey
}

// A Submission is the value of an object bundle/<version>. It authenticates the
// submitter, so that nobody can bypass the two-person rule by naming somebody
// else as the submitter.
type Submission struct {
	Submitter KeyName `json:"submitter"`
	// Proof is the submitter's signature of Bundle.
	Proof []byte `json:"proof"`
	// Bundle holds the exact bytes of the document.
	Bundle json.RawMessage `json:"bundle"`
}

// A Signature is the value of an object signature/<version>.
type Signature struct {
	Version wick.BundleVersion `json:"version"`
	Signer  KeyName            `json:"signer"`
	// WriteID identifies the write of the signature.
	WriteID wick.WriteID `json:"writeId"`
	// Sum signs the exact stored bytes of the submission.
	Sum []byte `json:"sum"`
}

// A Signed is a signed bundle as entries distribute it.
type Signed struct {
	Version wick.BundleVersion `cbor:"1,keyasint"`
	// Submission and Signature are the exact stored values.
	Submission []byte `cbor:"2,keyasint"`
	Signature  []byte `cbor:"3,keyasint"`
}

// key returns a trusted public key.
func (kys Keys) key(name KeyName) (ed25519.PublicKey, error) {
	text, ok := kys[name]
	if !ok {
		return nil, eris.Wrapf(wick.ErrInvalid, "key %q is not trusted", name)
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, eris.Wrapf(wick.ErrInvalid, "trusted key %q is not an ed25519 key in base64", name)
	}
	return raw, nil
}

// Check returns an error if a key is malformed or two names share a key.
func (kys Keys) Check() error {
	seen := make(map[string]KeyName, len(kys))
	for name := range kys {
		key, err := kys.key(name)
		if err != nil {
			return err
		}
		if other, ok := seen[string(key)]; ok {
			return eris.Wrapf(wick.ErrInvalid, "trusted keys %q and %q are the same", other, name)
		}
		seen[string(key)] = name
	}
	return nil
}

// PublicText returns the public key in the encoding of Keys.
func (sgr Signer) PublicText() string {
	pub, _ := sgr.Key.Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(pub)
}

// Submission returns the stored form of a bundle.
func (sgr Signer) Submission(bnd Bundle) ([]byte, error) {
	doc, err := json.Marshal(bnd)
	if err != nil {
		return nil, eris.Wrap(err, "encode bundle")
	}
	if len(doc) > MaxBytes {
		return nil, FaultErrors{{Path: "$", Message: "document exceeds the size limit"}}
	}
	sub := Submission{Submitter: sgr.Name, Bundle: doc}
	sub.Proof = ed25519.Sign(sgr.Key, payload(submitDomain, bnd.Version, doc))
	return json.Marshal(sub)
}

// Sign returns the stored form of the signature of a submission.
func (sgr Signer) Sign(ver wick.BundleVersion, submission []byte, wid wick.WriteID) ([]byte, error) {
	sig := Signature{Version: ver, Signer: sgr.Name, WriteID: wid}
	sig.Sum = ed25519.Sign(sgr.Key, payload(signDomain, ver, submission))
	return json.Marshal(sig)
}

// payload returns the bytes to sign.
func payload(domain string, ver wick.BundleVersion, data []byte) []byte {
	out := binary.BigEndian.AppendUint64([]byte(domain), uint64(ver))
	return append(out, data...)
}

// VerifySubmission verifies a stored submission and returns the bundle and the
// submitter. The bundle is not effective unless a second operator signed it.
func (kys Keys) VerifySubmission(ver wick.BundleVersion, submission []byte) (Bundle, KeyName, error) {
	sub, err := decodeSubmission(submission)
	if err != nil {
		return Bundle{}, "", err
	}
	key, err := kys.key(sub.Submitter)
	if err != nil {
		return Bundle{}, sub.Submitter, err
	}
	if !ed25519.Verify(key, payload(submitDomain, ver, sub.Bundle), sub.Proof) {
		return Bundle{}, sub.Submitter, eris.Wrapf(wick.ErrInvalid, "version %d: the submitter's proof is not valid", ver)
	}
	bnd, err := Decode(sub.Bundle)
	if err != nil {
		return Bundle{}, sub.Submitter, err
	}
	if bnd.Version != ver {
		return Bundle{}, sub.Submitter, eris.Wrapf(wick.ErrInvalid, "version %d is stored as version %d", bnd.Version, ver)
	}
	return bnd, sub.Submitter, nil
}

// Verify verifies both signatures and the document and returns the bundle.
func (kys Keys) Verify(sgd Signed) (Bundle, error) {
	var sig Signature
	if err := decodeStrict(sgd.Signature, &sig); err != nil {
		return Bundle{}, err
	}
	if sig.Version != sgd.Version {
		return Bundle{}, eris.Wrapf(wick.ErrInvalid, "signature of version %d is stored as version %d", sig.Version, sgd.Version)
	}
	key, err := kys.key(sig.Signer)
	if err != nil {
		return Bundle{}, err
	}
	if !ed25519.Verify(key, payload(signDomain, sgd.Version, sgd.Submission), sig.Sum) {
		return Bundle{}, eris.Wrapf(wick.ErrInvalid, "version %d: signature by %q is not valid", sgd.Version, sig.Signer)
	}
	bnd, submitter, err := kys.VerifySubmission(sgd.Version, sgd.Submission)
	if err != nil {
		return Bundle{}, err
	}
	other, err := kys.key(submitter)
	if err != nil {
		return Bundle{}, err
	}
	if submitter == sig.Signer || bytes.Equal(key, other) {
		return Bundle{}, eris.Wrapf(wick.ErrInvalid, "version %d: %q signed their own submission", sgd.Version, submitter)
	}
	return bnd, nil
}

func decodeSubmission(data []byte) (Submission, error) {
	var sub Submission
	err := decodeStrict(data, &sub)
	return sub, err
}

// decodeStrict decodes a stored value and rejects unknown and duplicate keys.
func decodeStrict(data []byte, out any) error {
	if len(data) > wick.MaxObjectBytes {
		return eris.Wrap(wick.ErrInvalid, "stored value exceeds the size limit")
	}
	if fts := scanKeys(data); len(fts) > 0 {
		return fts
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return eris.Wrap(wick.ErrInvalid, err.Error())
	}
	return nil
}
