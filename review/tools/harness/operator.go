//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// route is a route of a configuration.
type route struct {
	host, prefix, kind, service string
	timeout                     float64
	attempts                    int
}

// document returns a configuration in the form of the operator's API.
func document(version uint32, idle float64, routes []route, services []string) []byte {
	type object = map[string]any
	byHost := map[string][]object{}
	var hosts []string
	for i, r := range routes {
		if byHost[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		byHost[r.host] = append(byHost[r.host], object{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target_latency_s": 0.5, "priority": 1,
			"match": object{"path_prefix": r.prefix}, "action": object{"service": r.service, "timeout_s": r.timeout, "max_attempts": r.attempts},
		})
	}
	listeners := []object{}
	for _, h := range hosts {
		listeners = append(listeners, object{"host": h, "rules": byHost[h]})
	}
	clusters := []object{}
	for _, s := range services {
		clusters = append(clusters, object{"name": s, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(object{
		"version":   versionText(version),
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": idle},
		"listeners": listeners, "clusters": clusters,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func versionText(v uint32) string { return fmt.Sprintf("%08x", v) }

// operatorCall sends one call to a control plane address and follows up to two
// redirects. It returns status 0 if no response came within a second.
func operatorCall(method, address, path string, body []byte, base string) (int, []byte) {
	url := "http://" + address + path
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			cancel()
			return 0, nil
		}
		if body != nil {
			r.Header.Set("Content-Type", "application/json")
		}
		if base != "" {
			r.Header.Set("X-Endivewalk-Base-Version", base)
		}
		response, err := plain.Do(r)
		if err != nil {
			cancel()
			return 0, nil
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		if err != nil {
			return 0, nil
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, data
		}
		url = response.Header.Get("Location")
	}
	return 0, nil
}

// order sends an order until it has a clear answer, to one daemon after the other with
// increasing pauses. It returns the status, or 0 if there is none at the end of timeout.
func (d *deployment) order(path string, body []byte, base string, first int, timeout time.Duration) int {
	pause := 10 * time.Millisecond
	end := time.Now().Add(timeout)
	for i := first; time.Now().Before(end); i++ {
		m := d.cores[i%len(d.cores)]
		status, _ := operatorCall(http.MethodPost, m.address(controlPort), path, body, base)
		d.record.line("order %s base %s (%s) to %s: status %d", path, base, orderName(body), m.name, status)
		if status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status
		}
		time.Sleep(pause)
		pause = min(pause*5/4, 250*time.Millisecond)
	}
	return 0
}

func orderName(body []byte) string {
	var v struct {
		Version string `json:"version"`
		Service string `json:"service"`
	}
	json.Unmarshal(body, &v)
	return v.Version + v.Service
}

// put sends a configuration on top of base.
func (d *deployment) put(body []byte, base uint32, first int, timeout time.Duration) int {
	return d.order("/api/config/put", body, versionText(base), first, timeout)
}

// readVersion reads the newest configuration at any daemon and returns its version.
func (d *deployment) readVersion(timeout time.Duration) (uint32, bool) {
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		status, data := operatorCall(http.MethodGet, d.cores[i%len(d.cores)].address(controlPort), "/api/config/get", nil, "")
		var v struct {
			Version string `json:"version"`
		}
		if status == 200 && json.Unmarshal(data, &v) == nil {
			n, err := strconv.ParseUint(v.Version, 16, 32)
			return uint32(n), err == nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}
