package model

import (
	"crypto/tls"
	"net"

	"github.com/pkg/errors"
)

// VerifyPeer checks that the certificate of the node at the other end of conn identifies
// host. A connection without TLS is accepted, because then no keys are set.
func VerifyPeer(conn net.Conn, host HostID) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	chain := secured.ConnectionState().PeerCertificates
	if len(chain) == 0 || len(chain[0].DNSNames) == 0 {
		return errors.Errorf("certificate does not identify host %s", host)
	}
	if name := chain[0].DNSNames[0]; name != string(host) {
		return errors.Errorf("certificate identifies host %s, expected %s", name, host)
	}
	return nil
}
