package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"poplarpin.dev/poplarpind/settings"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Unreadable Kind = "unreadable"
	Untrusted  Kind = "untrusted"
)

// Error reports why a certificate cannot be loaded or is not trusted.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// credentials is what was loaded from the files.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modified    time.Time
}

// Store holds the current key, certificate and authority, and reloads them when their files change.
type Store struct {
	files     settings.TLS
	mu        sync.Mutex
	current   credentials
	checkedAt time.Time
}

// New loads the files. Nil settings disable TLS: the store is nil, and a nil store returns nil configurations.
func New(files *settings.TLS) (*Store, error) {
	if files == nil {
		return nil, nil
	}
	current, err := load(*files)
	if err != nil {
		return nil, err
	}
	return &Store{files: *files, current: current, checkedAt: time.Now()}, nil
}

func load(files settings.TLS) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return credentials{}, &Error{"read", Unreadable, err.Error()}
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return credentials{}, &Error{"read", Unreadable, err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return credentials{}, &Error{"read", Unreadable, files.Authority + " contains no PEM certificate"}
	}
	return credentials{certificate, pool, lastModified(files)}, nil
}

// lastModified returns the latest modification time of the files.
func lastModified(files settings.TLS) time.Time {
	var last time.Time
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// currentCredentials returns the credentials, reloaded if the files have changed. If they cannot be loaded, for example because
// only some of the files have been replaced, the previous credentials stay in use.
func (store *Store) currentCredentials() credentials {
	store.mu.Lock()
	defer store.mu.Unlock()
	if time.Since(store.checkedAt) < checkInterval {
		return store.current
	}
	store.checkedAt = time.Now()
	if lastModified(store.files).Equal(store.current.modified) {
		return store.current
	}
	if current, err := load(store.files); err == nil {
		store.current = current
	}
	return store.current
}

// Mutual returns the server configuration for mutual TLS: clients must present a certificate signed by the authority.
func (store *Store) Mutual() *tls.Config { return store.serverConfig(tls.RequireAndVerifyClientCert) }

// Callers returns the server configuration for callers, who need no certificate.
func (store *Store) Callers() *tls.Config { return store.serverConfig(tls.NoClientCert) }

// serverConfig returns a configuration that uses the current credentials for each handshake.
func (store *Store) serverConfig(auth tls.ClientAuthType) *tls.Config {
	if store == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := store.currentCredentials()
		return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: auth, ClientCAs: current.authority,
			Certificates: []tls.Certificate{current.certificate}}, nil
	}}
}

// Client returns the client configuration for connections to peers; the code that connects must check the name in the peer's
// certificate.
func (store *Store) Client() *tls.Config {
	if store == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain against the current authority; the standard check would compare the host name,
		// but certificates do not contain addresses.
		InsecureSkipVerify: true,
		VerifyConnection:   store.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			current := store.currentCredentials()
			return &current.certificate, nil
		},
	}
}

// verify verifies the peer's certificate chain against the current authority.
func (store *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{"verify", Untrusted, "no certificate"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: store.currentCredentials().authority, Intermediates: intermediates})
	return err
}
