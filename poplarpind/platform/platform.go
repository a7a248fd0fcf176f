package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"poplarpin.dev/core/object"
)

const (
	callTimeout  = time.Second
	watchTimeout = 35 * time.Second
	callRate     = 20.0 // calls a second that one VM makes at the most, watches included
	callBurst    = 40
	claimRate    = 100.0 // of these, calls for non-idempotent requests, counted apart
	claimBurst   = 200
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	NotFound Kind = "notFound"
	Stale    Kind = "stale"    // the object's version is not the expected one
	NotSent  Kind = "notSent"  // the platform did not take the call
	Lost     Kind = "lost"     // the call may have taken effect
	Rejected Kind = "rejected" // the platform refuses calls of this form
	Throttle Kind = "throttle" // this VM makes too many calls
)

// Error reports why a call failed.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

var calls = expvar.NewMap("platformCalls")

// Client calls the platform.
type Client struct {
	base    string
	domain  string
	http    *http.Client
	limiter *rate.Limiter
	claims  *rate.Limiter
}

// New returns a client of the platform at a URL for a VM of a failure domain.
func New(base, domain string) *Client {
	return &Client{
		base:    base,
		domain:  domain,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}},
		limiter: rate.NewLimiter(callRate, callBurst),
		claims:  rate.NewLimiter(claimRate, claimBurst),
	}
}

// Get reads an object; the error's kind is NotFound if there is none.
func (client *Client) Get(ctx context.Context, name string) (object.Object, error) {
	return client.read(ctx, client.limiter, "get", name, "", callTimeout)
}

// GetClaim is Get for the claims of non-idempotent requests, with a rate of its own.
func (client *Client) GetClaim(ctx context.Context, name string) (object.Object, error) {
	return client.read(ctx, client.claims, "getClaim", name, "", callTimeout)
}

// Watch waits until an object's version is above the given one, or a while has passed, and reads it.
func (client *Client) Watch(ctx context.Context, name string, version int64) (object.Object, error) {
	return client.read(ctx, client.limiter, "watch", name, "?watch="+strconv.FormatInt(version, 10), watchTimeout)
}

func (client *Client) read(ctx context.Context, limiter *rate.Limiter, op, name, query string, timeout time.Duration) (object.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found := object.Object{Name: name}
	response, err := client.do(ctx, limiter, op, http.MethodGet, object.ObjectsPath+name+query, nil)
	if err != nil {
		return found, err
	}
	defer response.Body.Close()
	found.Version, _ = strconv.ParseInt(response.Header.Get(object.VersionHeader), 10, 64)
	found.Value, err = io.ReadAll(io.LimitReader(response.Body, object.MaxValueBytes+1))
	if err != nil {
		return found, &Error{op, Lost, err.Error()}
	}
	return found, nil
}

// Put stores an object if its version is the expected one, 0 for absent, and returns the new version.
func (client *Client) Put(ctx context.Context, name string, version int64, value []byte) (int64, error) {
	return client.put(ctx, client.limiter, name, version, value)
}

// PutClaim is Put for the claims of non-idempotent requests, with a rate of its own.
func (client *Client) PutClaim(ctx context.Context, name string, version int64, value []byte) (int64, error) {
	return client.put(ctx, client.claims, name, version, value)
}

func (client *Client) put(ctx context.Context, limiter *rate.Limiter, name string, version int64, value []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := object.ObjectsPath + name + "?version=" + strconv.FormatInt(version, 10)
	response, err := client.do(ctx, limiter, "put", http.MethodPut, path, value)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return strconv.ParseInt(response.Header.Get(object.VersionHeader), 10, 64)
}

// Delete removes an object.
func (client *Client) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.do(ctx, client.limiter, "delete", http.MethodDelete, object.ObjectsPath+name, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// VMs reads the list of live and leaving VMs.
func (client *Client) VMs(ctx context.Context) ([]object.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.do(ctx, client.limiter, "vms", http.MethodGet, object.VMsPath, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list object.VMList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, &Error{"vms", Lost, err.Error()}
	}
	return list.VMs, nil
}

// do makes one call and turns its failure into an Error.
func (client *Client) do(ctx context.Context, limiter *rate.Limiter, op, method, path string, body []byte) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		return nil, &Error{op, Throttle, err.Error()}
	}
	calls.Add(op, 1)
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{op, Rejected, err.Error()}
	}
	request.Header.Set("Failure-Domain", client.domain)
	response, err := client.http.Do(request)
	if err != nil {
		calls.Add("failed", 1)
		return nil, &Error{op, sentKind(err), err.Error()}
	}
	if response.StatusCode < 300 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, &Error{op, statusKind(response.StatusCode), fmt.Sprintf("status %d for %s", response.StatusCode, path)}
}

// sentKind tells calls that surely did not leave from those that may have.
func sentKind(err error) Kind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return NotSent
	}
	return Lost
}

func statusKind(status int) Kind {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return Stale
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return NotSent
	}
	if status >= 500 {
		return Lost
	}
	return Rejected
}
