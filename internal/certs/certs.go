// Package certs issues the certificates of a site for the connections between
// entries: a certificate authority and one certificate per entry.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	authorityName = "wagtailwick peers"
	// validity is long because entries have no persistent storage: they get
	// their keys with their settings, and operators rotate both together.
	validity = 2 * 365 * 24 * time.Hour
	// backdate tolerates clock skew between VMs.
	backdate   = time.Hour
	serialBits = 120
)

// An Authority is the certificate authority that signs the certificates of
// entries.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// PEM is the authority's certificate for the settings.
	PEM string
}

// A Pair is a certificate and its private key in PEM, as in the settings.
type Pair struct {
	Certificate string
	Key         string
}

// NewAuthority creates a self-signed authority that is valid from now on.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "certs: generate key")
	}
	tmpl, err := template(authorityName, now)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "certs: create authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "certs: parse authority")
	}
	return &Authority{cert: cert, key: key, PEM: encode("CERTIFICATE", der)}, nil
}

// Key returns the authority's private key in PEM, so that entries without
// settings of their own can share the authority.
func (aut *Authority) Key() (string, error) {
	der, err := x509.MarshalPKCS8PrivateKey(aut.key)
	if err != nil {
		return "", eris.Wrap(err, "certs: encode key")
	}
	return encode("PRIVATE KEY", der), nil
}

// ParseAuthority parses a certificate and a private key in PEM, as PEM and Key
// return them. The error wraps wick.ErrInvalid.
func ParseAuthority(certPEM, keyPEM string) (*Authority, error) {
	pair, err := tls.X509KeyPair([]byte(certPEM), []byte(keyPEM))
	if err != nil {
		return nil, eris.Wrapf(wick.ErrInvalid, "certs: authority: %v", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, eris.Wrap(wick.ErrInvalid, "certs: not an authority")
	}
	return &Authority{cert: pair.Leaf, key: key, PEM: certPEM}, nil
}

// IsOlder reports whether the authority was created before another one. All entries order
// two authorities the same way.
func (aut *Authority) IsOlder(other *Authority) bool {
	if !aut.cert.NotBefore.Equal(other.cert.NotBefore) {
		return aut.cert.NotBefore.Before(other.cert.NotBefore)
	}
	return aut.PEM < other.PEM
}

// Issue issues the certificate of an entry. Its common name is the entry id.
func (aut *Authority) Issue(eid wick.EntryID, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "certs: generate key")
	}
	tmpl, err := template(string(eid), now)
	if err != nil {
		return Pair{}, err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	tmpl.DNSNames = []string{string(eid)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, aut.cert, key.Public(), aut.key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "certs: create certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "certs: encode key")
	}
	return Pair{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", keyDER)}, nil
}

func template(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "certs: generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
