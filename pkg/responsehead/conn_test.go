package responsehead_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lilacweir/lilacweir/internal/rawanswer"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// TestTransportRefusesMalformedHeads also checks that proper responses on connections that are used again are read.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	const body = "answer"
	var bad string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if bad == "" {
			_, _ = io.WriteString(w, body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, bad)
		_ = conn.Close()
	}))
	defer server.Close()
	client := &http.Client{Transport: responsehead.NewTransport(&http.Transport{})}
	for name, head := range rawanswer.BadHeads {
		for _, bad = range []string{"", "", head.Answer("", body)} {
			response, err := client.Get(server.URL)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			var malformed *responsehead.Error
			if bad == "" && err != nil || bad != "" && !errors.As(err, &malformed) {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}
