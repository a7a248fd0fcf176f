package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/object"
	"poplarpin.dev/poplarpind/platform"
)

// TestLostWatch guards against a VM that waits half a minute for a release, since the answer of its watch was lost.
func TestLostWatch(t *testing.T) {
	silent := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Has("watch") || len(silent) > 0 {
			<-request.Context().Done()
			return
		}
		writer.Header().Set(object.VersionHeader, "7")
		_, _ = writer.Write([]byte(`{}`))
	}))
	t.Cleanup(server.Close)
	client := platform.New(server.URL, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	t.Run("only the watch is lost", func(t *testing.T) {
		found, err := client.Watch(ctx, "head", 6)
		assert.NilError(t, err)
		assert.Equal(t, found.Version, int64(7))
	})
	t.Run("the platform is silent", func(t *testing.T) {
		silent <- true
		_, err := client.Watch(ctx, "head", 7)
		assert.Equal(t, platform.KindOf(err), platform.Lost)
		assert.NilError(t, ctx.Err())
	})
}
