package transport

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

func (t *Transport) callServerTLS() *tls.Config {
	if t.callKeys == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := t.callKeys.get()
			return pair, nil
		},
	}
}

func (t *Transport) peerServerTLS() *tls.Config {
	if t.peerKeys == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, authority := t.peerKeys.get()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
				VerifyConnection: func(state tls.ConnectionState) error {
					return requireHostName(state.PeerCertificates)
				},
			}, nil
		},
	}
}

// peerClientTLS returns a configuration that verifies the certificate chain of the
// peer but not its name, because nodes dial IP addresses, which may be reassigned to
// another host. Plug-ins that depend on the name compare it with the host list.
func (t *Transport) peerClientTLS() *tls.Config {
	pair, authority := t.peerKeys.get()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*pair},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state.PeerCertificates, authority)
		},
	}
}

// requireHostName rejects a certificate that names no host, because its owner would be
// treated as a peer without keys.
func requireHostName(chain []*x509.Certificate) error {
	if len(chain) == 0 || len(chain[0].DNSNames) == 0 {
		return errors.New("the peer's certificate names no host")
	}
	return nil
}

// verifyChain verifies that a certificate names a host and was signed by the authority.
func verifyChain(chain []*x509.Certificate, authority *x509.CertPool) error {
	if err := requireHostName(chain); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify the peer's certificate")
}
