package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Figures of the case: the bounds of the settings file, and a second more.
const (
	afterRevoke = 6 * time.Second // RevokeMs is 5,000
	revokeTries = 10
	heldKey     = "hwrr6x73d3zji9n73hh2"
	foreignKey  = "zzzz0000never0held00"
)

// playRevoke breaks CONFIG: a change takes away the last tenant and with it its keys. The requests with that key go
// on to run, and so do those with a key that no configuration ever held.
func playRevoke(s *stage) (bool, error) {
	if err := s.startFleet(3, 3); err != nil {
		return false, err
	}
	first := map[string]any{"Revision": 7, "Routes": []any{lookupRoute("r-uakn2ft", "ficu95.example", "wuno96b")},
		"Backends": []any{lookupBackend("wuno96b")}, "Limits": usualLimits(), "Tenants": []any{oneTenant("kaje80", heldKey)}}
	if status, err := s.configure(http.MethodPut, 0, first); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d, %w", status, err)
	}
	for i := range 3 {
		if err := s.startLookupRater("wuno96b", fmt.Sprintf("zone-%d", i+1)); err != nil {
			return false, err
		}
	}
	held := lookup{host: "ficu95.example", path: "/pule252/2f", key: heldKey}
	if err := s.awaitServed(held); err != nil {
		return false, err
	}
	if status := s.send(s.data[0], lookup{host: held.host, path: held.path, key: foreignKey}); status != http.StatusUnauthorized {
		return false, fmt.Errorf("a key that no tenant holds got %d", status)
	}
	if s.trouble {
		change := map[string]any{"Revision": 9, "Remove": map[string]any{"Tenants": []string{"kaje80"}}}
		if status, err := s.configure(http.MethodPatch, 7, change); err != nil || status != http.StatusOK {
			return false, fmt.Errorf("the change: status %d, %w", status, err)
		}
	}
	s.readBack()
	time.Sleep(afterRevoke)
	return s.tryKeys(held)
}

// tryKeys sends requests with the key that was taken away, or without the disruption with one that was never held.
func (s *stage) tryKeys(held lookup) (broken bool, err error) {
	served := 0
	for try := range revokeTries {
		for _, front := range s.data {
			foreign := held
			foreign.key = foreignKey
			if status := s.send(front, foreign); status == http.StatusOK {
				s.say("BROKEN: a request ran with a key that no configuration ever held")
				broken = true
			}
			if status := s.send(front, held); status == http.StatusOK {
				served++
				if s.trouble {
					s.say("BROKEN: try %d: a request ran %v after the change that took away its key was acknowledged", try, afterRevoke)
					broken = true
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !s.trouble && served == 0 {
		return broken, fmt.Errorf("no request was served")
	}
	return broken, nil
}

// readBack records the configuration that the fleet answers.
func (s *stage) readBack() {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.controlAddresses()[0] + "/-/config")
	if err != nil {
		s.say("operator: GET: %v", err)
		return
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.say("operator: GET -> %d %s", response.StatusCode, bytes.TrimSpace(text))
}
