package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An OperatorKey is the key pair of one operator, in base64.
type OperatorKey struct {
	Name KeyName `json:"name"`
	// Public is the key that the entries' settings list as trusted.
	Public string `json:"publicKey"`
	// Seed is the private key and must be kept secret.
	Seed string `json:"seed"`
}

// NewOperatorKey generates a key pair.
func NewOperatorKey(name KeyName) (OperatorKey, error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return OperatorKey{}, eris.Wrap(err, "bundle: generate key")
	}
	return OperatorKey{
		Name:   name,
		Public: base64.StdEncoding.EncodeToString(pub),
		Seed:   base64.StdEncoding.EncodeToString(priv.Seed()),
	}, nil
}

// Signer returns the private key, or wick.ErrInvalid for a malformed seed.
func (opk OperatorKey) Signer() (Signer, error) {
	seed, err := base64.StdEncoding.DecodeString(opk.Seed)
	if err != nil || len(seed) != ed25519.SeedSize {
		return Signer{}, eris.Wrap(wick.ErrInvalid, "bundle: seed of operator key")
	}
	return Signer{Name: opk.Name, Key: ed25519.NewKeyFromSeed(seed)}, nil
}
