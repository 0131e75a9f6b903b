package daemon

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server that was stopped right after its start kept its address.
func TestClosedServerFreesAddress(t *testing.T) {
	d := &Daemon{}
	address := "127.200.0.1:0" // No outgoing connection has a port of this address.
	for range 200 {
		s, err := d.serveHTTP(address, http.NotFoundHandler())
		require.NoError(t, err)
		address = s.address()
		s.close()
	}
}
