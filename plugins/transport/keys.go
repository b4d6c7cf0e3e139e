package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keyCheckInterval is the shortest time between two checks of the key files for
// changes.
const keyCheckInterval = time.Second

// keyPair is a certificate with its key, reloaded when its files change. If the new
// files cannot be read, the previous pair stays in use.
type keyPair struct {
	certFile, keyFile, authorityFile string
	onError                          func(error)

	mu sync.Mutex
	// lastCheck is when the files were last checked for changes.
	lastCheck time.Time
	// loadedStates holds the states of the files from which current and authority
	// were loaded.
	loadedStates [3]fileState
	current      *tls.Certificate
	authority    *x509.CertPool
}

// newKeyPair loads a key pair. onError receives the errors of later reloads.
func newKeyPair(s KeySettings, onError func(error)) (*keyPair, error) {
	k := &keyPair{certFile: s.Certificate, keyFile: s.Key, authorityFile: s.Authority, onError: onError}
	if err := k.load(); err != nil {
		return nil, err
	}
	k.loadedStates = k.fileStates()
	return k, nil
}

func (k *keyPair) load() error {
	pair, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return errors.Wrap(err, "load key pair")
	}
	authority, err := readAuthority(k.authorityFile)
	if err != nil {
		return err
	}
	k.current = &pair
	k.authority = authority
	return nil
}

// readAuthority returns the certificates in a file, nil if file is empty.
func readAuthority(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("read certificate authority: %s contains no certificate", file)
	}
	return pool, nil
}

// fileState identifies a version of a file by its modification time and size in bytes.
type fileState struct {
	modified time.Time
	size     int64
}

// fileStates returns the states of the three files; the state of a file that is
// missing or inaccessible is zero.
func (k *keyPair) fileStates() [3]fileState {
	var states [3]fileState
	for i, file := range []string{k.certFile, k.keyFile, k.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			states[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return states
}

// get returns the pair and the authority in use, after reloading changed files.
func (k *keyPair) get() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(time.Now())
	return k.current, k.authority
}

// refresh reloads the files if they have changed since they were loaded. It checks at
// most once per keyCheckInterval. The caller must hold k.mu.
func (k *keyPair) refresh(now time.Time) {
	if now.Sub(k.lastCheck) < keyCheckInterval {
		return
	}
	k.lastCheck = now
	current := k.fileStates()
	if current == k.loadedStates {
		return
	}
	if err := k.load(); err != nil {
		k.onError(err)
		return
	}
	k.loadedStates = current
}
