//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// oddConfig sends two configurations that an operator's tool has got wrong: one without
// its routes, and one with an idle limit of -1.
func oddConfig(s *scene) (string, error) {
	routes := []route{{host, "/lepu270/", safe, board, 1.5, 2}}
	services := []string{board}
	good := func(version uint32) []byte { return document(version, 15, routes, services) }
	if err := s.open([]string{board, board}, 5*time.Millisecond, good(1)); err != nil {
		return "", err
	}
	if err := s.awaitServed(host, "/lepu270/2f", 10*time.Second); err != nil {
		return "", err
	}
	version := uint32(1)
	first := ""
	order := good(2)
	if s.trouble {
		order = without(order, "listeners")
	}
	status := s.d.put(order, version, 0, 3*time.Second)
	s.rec.line("the order %s got status %d", bytes.ReplaceAll(order, []byte("\n"), nil), status)
	if status == http.StatusOK {
		version = 2
		if s.trouble {
			first = "CONFIG: a configuration without `listeners`, which can't be read in full, was acknowledged"
			time.Sleep(configApply)
			a := request(s.rec, s.d.sides[0], http.MethodGet, host, "/lepu270/2f", newID(), 1500*time.Millisecond, nil)
			s.rec.line("%v later a request on the route gets status %d", configApply, a.status)
		}
	}
	if status := s.d.put(good(3), version, 0, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("a proper configuration got status %d", status)
	}
	idle := 14.0
	if s.trouble {
		idle = -1
	}
	status = s.d.put(document(4, idle, routes, services), 3, 0, 2*time.Second)
	s.rec.line("the order with idle_timeout_s %v got status %d", idle, status)
	second := ""
	time.Sleep(time.Second)
	if read, ok := s.d.readVersion(time.Second); !ok || read < 3 {
		second = s.awaitRecovery(3)
	}
	if first != "" && second != "" {
		return first + "; and " + second, nil
	}
	return first + second, nil
}

// without returns a JSON object without one of its members.
func without(object []byte, name string) []byte {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object, &members); err != nil {
		panic(err)
	}
	delete(members, name)
	data, err := json.Marshal(members)
	if err != nil {
		panic(err)
	}
	return data
}
