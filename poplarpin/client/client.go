package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/release"
)

const requestTimeout = 70 * time.Second // above config.MaxDeadline (60 s), so that the entry VM answers first

// TLS holds the paths of the PEM files for HTTPS, all empty for plain HTTP; Certificate and Key are used only if Authority is set.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Client calls the HTTP API of one entry VM.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the entry VM at a base URL.
func New(baseURL string, files TLS) (*Client, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 1024, IdleConnTimeout: time.Minute}
	if files.Authority != "" {
		config, err := files.config()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	return &Client{baseURL, &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
}

func (files TLS) config() (*tls.Config, error) {
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !config.RootCAs.AppendCertsFromPEM(authority) {
		return nil, errors.NotValidf("certificate authority %s", files.Authority)
	}
	if files.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return nil, errors.Annotate(err, "certificate")
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}

// Query sends a caller's request; if the entry VM refuses it, the error is an *api.Error.
func (client *Client) Query(ctx context.Context, request api.Request) (api.Answer, error) {
	var answer api.Answer
	return answer, client.call(ctx, http.MethodPost, "/v1/query", request, &answer)
}

// Apply submits a release note.
func (client *Client) Apply(ctx context.Context, note release.Note) (api.Release, error) {
	var accepted api.Release
	return accepted, client.call(ctx, http.MethodPost, "/v1/releases", note, &accepted)
}

// Diff returns what a release note would change.
func (client *Client) Diff(ctx context.Context, note release.Note) ([]api.Change, error) {
	var changes []api.Change
	return changes, client.call(ctx, http.MethodPost, "/v1/diff", note, &changes)
}

// History returns the accepted releases, newest first.
func (client *Client) History(ctx context.Context) ([]api.Release, error) {
	var releases []api.Release
	return releases, client.call(ctx, http.MethodGet, "/v1/releases", nil, &releases)
}

// Show returns the note of a release.
func (client *Client) Show(ctx context.Context, number int64) (release.Note, error) {
	var note release.Note
	return note, client.call(ctx, http.MethodGet, "/v1/releases/"+strconv.FormatInt(number, 10), nil, &note)
}

// Status returns the status of the fleet as known to the entry VM.
func (client *Client) Status(ctx context.Context) (api.Status, error) {
	var status api.Status
	return status, client.call(ctx, http.MethodGet, "/v1/status", nil, &status)
}

// Dump returns the internal state of the entry VM's process as JSON.
func (client *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, client.call(ctx, http.MethodGet, "/v1/dump", nil, &dump)
}

// PlatformDump returns the internal state of an entry VM on the platform, whose peer address serves it.
func (client *Client) PlatformDump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, client.call(ctx, http.MethodGet, "/debug/dump", nil, &dump)
}

// Healthy reports whether the entry VM accepts new requests.
func (client *Client) Healthy(ctx context.Context) bool {
	return client.call(ctx, http.MethodGet, "/health", nil, nil) == nil
}

// call sends a request and decodes the response into result. An error status with an api.Error as the body returns that error. Any other
// error status is an error too, unless the body is an answer with an outcome.
func (client *Client) call(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Trace(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return errors.Trace(err)
	}
	request.GetBody = nil // a request is sent once: without GetBody, net/http does not resend its body on a new connection
	response, err := client.http.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		var apiError api.Error
		if json.Unmarshal(data, &apiError) == nil && apiError.Kind != "" {
			return &apiError
		}
		if answer, ok := result.(*api.Answer); ok && json.Unmarshal(data, answer) == nil && answer.Outcome != "" {
			return nil
		}
		return errors.Errorf("%s %s: %s", method, path, response.Status)
	}
	if result == nil {
		return nil
	}
	if len(data) == 0 { // the response may have stopped after its head
		return errors.Errorf("%s %s: %s without a body", method, path, response.Status)
	}
	return errors.Trace(json.Unmarshal(data, result))
}
