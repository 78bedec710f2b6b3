// Package hosts reads the platform's list of live and leaving hosts. The list
// lags by up to tens of seconds, so it is used to find peers and to detect
// departures early, never as proof that a host is alive.
package hosts

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/wire/verifier"
	"github.com/valyala/fasthttp"
)

const (
	callTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the list: 12,360 hosts are some 2 MB.
	maxAnswerBytes = 8 << 20
	// Path is where the list is served.
	Path = "/v1/hosts"
)

// Role tells what runs on a host.
type Role string

// The roles of hosts.
const (
	Entry   Role = "entry"
	Sidecar Role = "sidecar"
)

// Host is one host on the list.
type Host struct {
	Name string `json:"name"`
	// Address is the address on which the daemon's link listens.
	Address          string `json:"address"`
	Role             Role   `json:"role"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	Leaving          bool   `json:"leaving,omitempty"`
}

// Client reads the list.
type Client struct {
	address string
	http    *fasthttp.Client
}

// New returns a client of the list at the given address.
func New(address string) *Client {
	return &Client{address: address, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		Dial:                      func(addr string) (net.Conn, error) { return verifier.Dial(addr, callTimeout) },
	}}
}

// List returns all hosts known to the platform.
func (c *Client) List() ([]Host, error) {
	status, body, err := c.http.GetTimeout(nil, "http://"+c.address+Path, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("list hosts: status %d", status)
	}
	var list []Host
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	return list, nil
}
