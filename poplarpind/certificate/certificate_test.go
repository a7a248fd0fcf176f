package certificate_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/certificate"
	"poplarpin.dev/poplarpind/certificate/certificatetest"
	"poplarpin.dev/poplarpind/settings"
)

func newAuthority(t *testing.T) *certificatetest.Authority {
	t.Helper()
	authority, err := certificatetest.New()
	assert.NilError(t, err)
	return authority
}

func issue(t *testing.T, authority *certificatetest.Authority, dir, name string, notAfter, modified time.Time) *settings.TLS {
	t.Helper()
	files, err := authority.Issue(dir, name, notAfter, modified)
	assert.NilError(t, err)
	return files
}

// handshake makes a TLS connection between two stores and returns the server's certificate name, or the error of either side.
func handshake(t *testing.T, server, client *certificate.Store) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		serverSide, err := listener.Accept()
		if err == nil {
			defer serverSide.Close()
			err = tls.Server(serverSide, server.Mutual()).Handshake()
		}
		served <- err
	}()
	clientSide, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer clientSide.Close()
	secured := tls.Client(clientSide, client.Client())
	if err := secured.Handshake(); err != nil {
		return "", err
	}
	_, _ = secured.Read(make([]byte, 1)) // in TLS 1.3 the client learns only by reading whether the server accepts its certificate
	assert.Equal(t, secured.ConnectionState().Version, uint16(tls.VersionTLS13))
	return secured.ConnectionState().PeerCertificates[0].DNSNames[0], <-served
}

func open(t *testing.T, files *settings.TLS) *certificate.Store {
	t.Helper()
	store, err := certificate.New(files)
	assert.NilError(t, err)
	return store
}

// TestHandshake guards against peers whose certificate is expired or signed by another authority.
func TestHandshake(t *testing.T) {
	members, foreign := newAuthority(t), newAuthority(t)
	future, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	trusted := func(name string) *certificate.Store {
		return open(t, issue(t, members, t.TempDir(), name, future, time.Now()))
	}
	t.Run("members accept each other", func(t *testing.T) {
		name, err := handshake(t, trusted("vm1"), trusted("vm2"))
		assert.NilError(t, err)
		assert.Equal(t, name, "vm1")
	})
	t.Run("a client of another authority is refused", func(t *testing.T) {
		_, err := handshake(t, trusted("vm1"), open(t, issue(t, foreign, t.TempDir(), "vm2", future, time.Now())))
		assert.Assert(t, err != nil)
	})
	t.Run("a server of another authority is refused", func(t *testing.T) {
		_, err := handshake(t, open(t, issue(t, foreign, t.TempDir(), "vm1", future, time.Now())), trusted("vm2"))
		assert.Assert(t, err != nil)
	})
	t.Run("an expired certificate is refused", func(t *testing.T) {
		_, err := handshake(t, trusted("vm1"), open(t, issue(t, members, t.TempDir(), "vm2", past, time.Now())))
		assert.Assert(t, err != nil)
	})
}

// TestReplacement guards against a replaced certificate that takes effect only after a restart, and against handshakes that
// fail during the replacement.
func TestReplacement(t *testing.T) {
	members, future := newAuthority(t), time.Now().Add(time.Hour)
	dir := t.TempDir()
	files := issue(t, members, dir, "old", future, time.Now().Add(-time.Minute))
	server := open(t, files)
	client := open(t, issue(t, members, t.TempDir(), "vm2", future, time.Now()))
	replacement := issue(t, members, dir, "new", future, time.Now())
	assert.NilError(t, os.Rename(replacement.Certificate, files.Certificate))
	assert.NilError(t, os.Rename(replacement.Key, files.Key))
	for {
		name, err := handshake(t, server, client)
		assert.NilError(t, err)
		if name == "new" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestFiles(t *testing.T) {
	t.Run("absent settings mean no TLS", func(t *testing.T) {
		store, err := certificate.New(nil)
		assert.NilError(t, err)
		assert.Assert(t, store.Mutual() == nil && store.Client() == nil && store.Callers() == nil)
	})
	t.Run("absent files are refused", func(t *testing.T) {
		_, err := certificate.New(&settings.TLS{Certificate: "none", Key: "none", Authority: "none"})
		assert.ErrorContains(t, err, "unreadable")
	})
}
