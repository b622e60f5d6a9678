package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lookup is one request to the service of short answers.
type lookup struct {
	host, path, key string
}

var lastAttempt atomic.Int64

// send sends a request to a data process and records what came back. It returns the status, 0 for none.
func (s *stage) send(front *machine, l lookup) (status int) {
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+lastAttempt.Add(1))
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", front.ip, portFront, l.path), strings.NewReader("lookup"))
	if err != nil {
		return 0
	}
	request.Host = l.host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	request.Header.Set("Api-Key", l.key)
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.say("client: %s to %s, host %s, key %q: no answer: %v", id, front.name, l.host, l.key, err)
		return 0
	}
	text, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.say("client: %s to %s, host %s, key %q -> %d, seal %q, %q", id, front.name, l.host, l.key, response.StatusCode,
		response.Header.Get("Response-Seal"), strings.TrimSpace(string(text)))
	return response.StatusCode
}

// awaitServed waits until every data process serves a request.
func (s *stage) awaitServed(l lookup) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, front := range s.data {
		for {
			if status := s.send(front, l); status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve %s%s", front.name, l.host, l.path)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// startLookupRater starts a rater of short answers.
func (s *stage) startLookupRater(service, zone string) error {
	address := fmt.Sprintf("%s:%d", s.host(), portRater)
	_, err := s.start("rater-"+address, "", s.binary, "rater", "-id", "i-"+strings.NewReplacer(".", "", ":", "").Replace(address), "-service", service,
		"-address", address, "-zone", zone, "-control", strings.Join(s.controlAddresses(), ","))
	return err
}

// lookupRoute is a route to the service of short answers.
func lookupRoute(name, host, service string) map[string]any {
	return map[string]any{"Name": name, "Hostname": host, "PathPrefix": "/pule252/", "RouteType": "unsafe", "TimeoutMs": 1500,
		"TargetLatencyMs": 150, "Priority": 2, "Backend": service, "MaxAttempts": 1, "Anonymous": false, "SessionAffinity": false,
		"StreamResume": false}
}

// lookupBackend is a service of short answers.
func lookupBackend(name string) map[string]any {
	return map[string]any{"Name": name, "HealthCheck": "/healthz", "MaxConnections": 130, "Protocol": "h1", "Tls": false}
}

// oneTenant is a tenant that holds one key.
func oneTenant(name, key string) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "token_count", "PlainTokens": 200,
		"RatePerS": 223061, "Burst": 223061}
}

// usualLimits are the limits of a small deployment.
func usualLimits() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}
