package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"poplarpin.dev/poplarpind/settings"
)

// checkInterval is how long files that were read count as unchanged.
const checkInterval = time.Second

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Unreadable Kind = "unreadable"
	Untrusted  Kind = "untrusted"
)

// Error reports why a certificate cannot be used.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	changed     time.Time
}

// Store holds the current key, certificate and authority.
type Store struct {
	files   settings.TLS
	mu      sync.Mutex
	current material
	checked time.Time
}

// New reads the files; a store of nil settings is nil, and so are its configurations.
func New(files *settings.TLS) (*Store, error) {
	if files == nil {
		return nil, nil
	}
	current, err := read(*files)
	if err != nil {
		return nil, err
	}
	return &Store{files: *files, current: current, checked: time.Now()}, nil
}

func read(files settings.TLS) (material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return material{}, &Error{"read", Unreadable, err.Error()}
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return material{}, &Error{"read", Unreadable, err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return material{}, &Error{"read", Unreadable, files.Authority + " holds no certificate"}
	}
	return material{certificate, pool, newest(files)}, nil
}

// newest returns when one of the files was written last.
func newest(files settings.TLS) time.Time {
	var last time.Time
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// get returns the current material, read anew if the files have changed; half-replaced files leave the former in use.
func (store *Store) get() material {
	store.mu.Lock()
	defer store.mu.Unlock()
	if time.Since(store.checked) < checkInterval {
		return store.current
	}
	store.checked = time.Now()
	if newest(store.files).Equal(store.current.changed) {
		return store.current
	}
	if current, err := read(store.files); err == nil {
		store.current = current
	}
	return store.current
}

// Mutual returns the server side of connections on which both ends show a certificate of the authority.
func (store *Store) Mutual() *tls.Config { return store.server(tls.RequireAndVerifyClientCert) }

// Callers returns the server side of connections on which only this end shows a certificate.
func (store *Store) Callers() *tls.Config { return store.server(tls.NoClientCert) }

func (store *Store) server(auth tls.ClientAuthType) *tls.Config {
	if store == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := store.get()
		return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: auth, ClientCAs: current.authority,
			Certificates: []tls.Certificate{current.certificate}}, nil
	}}
}

// Client returns the client side of connections to peers; whose certificate it is, the caller checks by name.
func (store *Store) Client() *tls.Config {
	if store == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified below against the authority as it is now; addresses are not in certificates.
		InsecureSkipVerify: true,
		VerifyConnection:   store.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			current := store.get()
			return &current.certificate, nil
		},
	}
}

func (store *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{"verify", Untrusted, "no certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: store.get().authority, Intermediates: intermediates})
	return err
}
