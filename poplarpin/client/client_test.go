package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpin/client"
)

// newClient returns a client of an entry VM that answers everything with this status and body.
func newClient(t *testing.T, status int, body string) *client.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	created, err := client.New(server.URL, client.TLS{})
	assert.NilError(t, err)
	return created
}

// TestErrorStatus guards against error statuses that pass for success: a load balancer's or proxy's 503 without a body of ours made a
// VM count as healthy, and an empty object as an answer.
func TestErrorStatus(t *testing.T) {
	ctx := context.Background()
	t.Run("a 503 without an error body is not healthy", func(t *testing.T) {
		assert.Assert(t, !newClient(t, http.StatusServiceUnavailable, "").Healthy(ctx))
		assert.Assert(t, newClient(t, http.StatusOK, "").Healthy(ctx))
	})
	t.Run("an error status without an outcome is no answer", func(t *testing.T) {
		_, err := newClient(t, http.StatusBadGateway, "{}").Query(ctx, api.Request{})
		assert.ErrorContains(t, err, "502")
	})
	t.Run("an answer with an outcome is one, whatever its status", func(t *testing.T) {
		answer, err := newClient(t, http.StatusServiceUnavailable, `{"id":"r","outcome":"notRun"}`).Query(ctx, api.Request{})
		assert.NilError(t, err)
		assert.Equal(t, answer.Outcome, api.NotRun)
	})
	t.Run("an error body is returned", func(t *testing.T) {
		_, err := newClient(t, http.StatusServiceUnavailable, `{"kind":"overloaded","message":"m"}`).Query(ctx, api.Request{})
		apiError, ok := err.(*api.Error)
		assert.Assert(t, ok, "%v", err)
		assert.Equal(t, string(apiError.Kind), "overloaded")
	})
}

// TestTruncatedAnswer guards against an answer that stopped, or has no body, and passes for one.
func TestTruncatedAnswer(t *testing.T) {
	const answer = `{"id":"r","outcome":"whole","coverage":1}`
	for _, ending := range []platformtest.Ending{platformtest.Closed, platformtest.Reset} {
		for _, shape := range platformtest.ResponseShapes(answer) {
			t.Run(string(ending)+"/"+shape.Name, func(t *testing.T) {
				t.Parallel()
				for sent := range len(shape.Bytes()) + 1 {
					server := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
						return platformtest.Truncated{Bytes: shape.Bytes()[:sent], Ending: ending}
					})
					created, err := client.New("http://"+server.Address, client.TLS{})
					assert.Check(t, err)
					received, err := created.Query(t.Context(), api.Request{})
					assert.Check(t, err != nil || received.Coverage == 1, "%+v after %q", received, shape.Bytes()[:sent])
					whole := sent == len(shape.Bytes()) && ending == platformtest.Closed && shape.Content != "" && !shape.Invalid
					assert.Check(t, !whole || err == nil, "%v", err)
				}
			})
		}
	}
}
