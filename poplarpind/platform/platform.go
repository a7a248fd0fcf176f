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
	maxListBytes = 16 << 20        // the VM list is this long at most; 22,300 entries take about 2.3 MB
	maxHeadBytes = 64 << 10        // the header fields of an answer take up this much at most
	watchTimeout = 2 * time.Second // short, since a watch whose answer is lost shows no change until then
	callRate     = 20.0            // calls a second allowed per VM, including watches
	callBurst    = 40
	claimRate    = 100.0 // calls a second allowed for claims of non-idempotent requests, in addition to callRate
	claimBurst   = 200
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	NotFound  Kind = "notFound"
	Stale     Kind = "stale"    // the object's version differs from the expected one
	NotSent   Kind = "notSent"  // the platform did not receive or did not accept the call
	Lost      Kind = "lost"     // the call may have taken effect
	Rejected  Kind = "rejected" // the platform rejected the call as invalid
	Throttled Kind = "throttle" // this VM's own rate limit did not admit the call in time
)

// Error reports why a call to the platform failed.
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

// Client calls the platform within a rate limit.
type Client struct {
	baseURL       string
	failureDomain string
	http          *http.Client
	limiter       *rate.Limiter
	claimLimiter  *rate.Limiter
}

// New returns a client of the platform at a base URL, for a VM in a failure domain.
func New(baseURL, failureDomain string) *Client {
	return &Client{
		baseURL:       baseURL,
		failureDomain: failureDomain,
		http:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}},
		limiter:       rate.NewLimiter(callRate, callBurst),
		claimLimiter:  rate.NewLimiter(claimRate, claimBurst),
	}
}

// Get reads an object; the error's kind is NotFound if it does not exist.
func (client *Client) Get(ctx context.Context, name string) (object.Object, error) {
	return client.read(ctx, client.limiter, "get", name, "", callTimeout)
}

// GetClaim is Get for the claims of non-idempotent requests, which have a separate rate limit.
func (client *Client) GetClaim(ctx context.Context, name string) (object.Object, error) {
	return client.read(ctx, client.claimLimiter, "getClaim", name, "", callTimeout)
}

// Watch is a long poll: it returns an object once its version is above the given one, or as it is after watchTimeout, which shows whether the
// platform answers.
func (client *Client) Watch(ctx context.Context, name string, version int64) (object.Object, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	found, err := client.read(watchCtx, client.limiter, "watch", name, "?watch="+strconv.FormatInt(version, 10), watchTimeout)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return client.Get(ctx, name)
	}
	return found, err
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

// Put writes an object if its version is the expected one, 0 if it must not exist yet, and returns the new version.
func (client *Client) Put(ctx context.Context, name string, version int64, value []byte) (int64, error) {
	return client.put(ctx, client.limiter, name, version, value)
}

// PutClaim is Put for the claims of non-idempotent requests, which have a separate rate limit.
func (client *Client) PutClaim(ctx context.Context, name string, version int64, value []byte) (int64, error) {
	return client.put(ctx, client.claimLimiter, name, version, value)
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

// Delete deletes an object.
func (client *Client) Delete(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.do(ctx, client.limiter, "delete", http.MethodDelete, object.ObjectsPath+name, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// VMs returns the platform's list of live and leaving VMs, without entries that cannot be read.
func (client *Client) VMs(ctx context.Context) ([]object.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.do(ctx, client.limiter, "vms", http.MethodGet, object.VMsPath, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, &Error{"vms", Lost, err.Error()}
	}
	vms := make([]object.VM, 0, len(list.VMs))
	for _, entry := range list.VMs {
		var vm object.VM
		if json.Unmarshal(entry, &vm) == nil && vm.Name != "" {
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// do makes one HTTP call within the rate limit; every failure, including an error status, is returned as an Error.
func (client *Client) do(ctx context.Context, limiter *rate.Limiter, op, method, path string, body []byte) (*http.Response, error) {
	if err := limiter.Wait(ctx); err != nil {
		return nil, &Error{op, Throttled, err.Error()}
	}
	calls.Add(op, 1)
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{op, Rejected, err.Error()}
	}
	request.Header.Set("Failure-Domain", client.failureDomain)
	response, err := client.http.Do(request)
	if err != nil {
		calls.Add("failed", 1)
		return nil, &Error{op, transportErrorKind(err), err.Error()}
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	return nil, &Error{op, statusErrorKind(response.StatusCode), fmt.Sprintf("status %d for %s", response.StatusCode, path)}
}

// transportErrorKind distinguishes calls that were certainly not sent, as dialling failed, from calls that may have taken effect.
func transportErrorKind(err error) Kind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return NotSent
	}
	return Lost
}

// statusErrorKind returns the kind of error of an HTTP status of 300 or above.
func statusErrorKind(status int) Kind {
	switch status {
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return Stale
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return NotSent
	}
	if status < http.StatusOK || status >= http.StatusInternalServerError {
		return Lost
	}
	return Rejected
}
