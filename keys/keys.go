// Package keys issues the X.509 certificates with which nodes authenticate one
// another.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

const (
	// AuthorityLifetime is the validity period of a certificate authority.
	AuthorityLifetime = 5 * 365 * 24 * time.Hour
	// MaxNodeLifetime is the maximum validity period of a node certificate.
	MaxNodeLifetime = 365 * 24 * time.Hour
	// backdating is the time by which NotBefore precedes the issue of a
	// certificate, so that hosts whose clocks are behind accept it.
	backdating = 5 * time.Minute
	// serialBits is the size in bits of a random serial number.
	serialBits = 120

	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
)

// Pair is a certificate and its private key in PEM form.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates a self-signed certificate authority for a fleet, valid from
// now for AuthorityLifetime.
func NewAuthority(fleet string, now time.Time) (*Pair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: fleet + " authority"},
		NotBefore:             now.Add(-backdating),
		NotAfter:              now.Add(AuthorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key, err := newKey(template)
	if err != nil {
		return nil, err
	}
	return sign(template, template, key, key)
}

// IssueNode issues the certificate of the node on a host, signed by authority and
// valid from now for lifetime. The host ID is its DNS name. A lifetime that is not
// positive or exceeds MaxNodeLifetime is an error.
func IssueNode(authority *Pair, host string, lifetime time.Duration, now time.Time) (*Pair, error) {
	if lifetime <= 0 || lifetime > MaxNodeLifetime {
		return nil, errors.Errorf("lifetime %s is not positive or exceeds the maximum of %s", lifetime, MaxNodeLifetime)
	}
	parent, parentKey, err := parseAuthority(authority)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: host},
		DNSNames:    []string{host},
		NotBefore:   now.Add(-backdating),
		NotAfter:    now.Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key, err := newKey(template)
	if err != nil {
		return nil, err
	}
	return sign(template, parent, key, parentKey)
}

// newKey generates a private key and sets a random serial number in template.
func newKey(template *x509.Certificate) (*ecdsa.PrivateKey, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate private key")
}

// sign creates the certificate for key from template, signed by parent.
func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (*Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode private key")
	}
	return &Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}

func parseAuthority(p *Pair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificateBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("certificate or key of the authority is not PEM-encoded")
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse certificate of the authority")
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, errors.Wrap(err, "parse key of the authority")
	}
	private, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, errors.Errorf("key of the authority is a %T, not an ECDSA key", key)
	}
	return certificate, private, nil
}
