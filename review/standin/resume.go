package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case: 7 raters, of which one (a share of 0.15) fails 0.4 of its requests for 2 s, and another one
// crashes and is back 1.5 s later.
const (
	resumeRaters  = 7
	resumeEvents  = 12
	resumePause   = 200 * time.Millisecond
	resumeRounds  = 20
	roundLength   = 4 * time.Second
	requestEvery  = 10 * time.Millisecond
	greyPercent   = 40
	greyLength    = 2 * time.Second
	crashAfter    = 20 * time.Millisecond
	crashLength   = 1500 * time.Millisecond
	clientTimeout = 6 * time.Second
	resumeKey     = "hwrr6x73d3zji9n73hh2"
	resumeHost    = "ficu95.example"
	resumePath    = "/lohu930/2f"
)

// resumeConfiguration is a configuration with one route, whose streams may be resumed at a second rater.
func resumeConfiguration() map[string]any {
	return map[string]any{"Revision": 7,
		"Routes": []map[string]any{{"Name": "r-uakn2ft", "Hostname": resumeHost, "PathPrefix": "/lohu930/", "RouteType": "streaming",
			"TimeoutMs": 5000, "TargetLatencyMs": 800, "Priority": 0, "Backend": "huvo11a", "MaxAttempts": 2, "Anonymous": false,
			"SessionAffinity": true, "StreamResume": true, "gap_aim_ms": 300}},
		"Backends": []map[string]any{{"Name": "huvo11a", "HealthCheck": "/healthz", "MaxConnections": 650, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": raterSlots, "KvTokens": 971730, "KvBytes": 35136, "LinkMbps": 260000.0, "stride": 6,
				"Models": []map[string]any{{"Name": "m"}}}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "kaje80", "ApiKeys": []string{resumeKey}, "Priority": 1, "Unit": "token_count",
			"PlainTokens": 200, "RatePerS": 2000000, "Burst": 2000000}}}
}

// raterSeat is a place for a rater: an address, and the rater that is there now.
type raterSeat struct {
	address string
	zone    string
	starts  int
	*process
}

// resumeCase holds what the clients saw.
type resumeCase struct {
	*stage
	seats []*raterSeat

	mu       sync.Mutex
	whole    int
	cut      int // the connection ended before the answer did: the client sees that
	rejected int
	short    int // framed as complete, and pieces are missing
}

// playResume breaks ORDER: a stream is broken off by a rater's crash and taken up at a rater that ends the run with
// its own 500. The client gets a whole answer without the last pieces.
func playResume(s *stage) (bool, error) {
	c := &resumeCase{stage: s}
	if err := s.startFleet(3, 3); err != nil {
		return false, err
	}
	if status, err := s.configure(http.MethodPut, 0, resumeConfiguration()); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d, %w", status, err)
	}
	for i := range resumeRaters {
		seat := &raterSeat{address: fmt.Sprintf("%s:%d", s.host(), portRater), zone: fmt.Sprintf("zone-%d", i%3+1)}
		c.seats = append(c.seats, seat)
		if err := c.startRater(seat); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { c.traffic(stop, &clients) })
	err := c.rounds()
	close(stop)
	clients.Wait()
	for _, seat := range c.seats {
		s.copyLog("rater-"+seat.address+".log", func(line string) bool { return !strings.Contains(line, `after event "", fails false`) })
	}
	s.say("%d streams whole, %d cut so that the client could see it, %d answered with a failure, %d short but framed as complete",
		c.whole, c.cut, c.rejected, c.short)
	if err == nil && c.whole == 0 {
		err = fmt.Errorf("no stream was served")
	}
	return c.short > 0, err
}

// startRater starts a rater at a place, as a new incarnation.
func (c *resumeCase) startRater(seat *raterSeat) error {
	seat.starts++
	p, err := c.start("rater-"+seat.address, "", c.binary, "rater", "-id", fmt.Sprintf("i-%x-%d", strings.ReplaceAll(seat.address, ".", ""), seat.starts),
		"-service", "huvo11a", "-address", seat.address, "-zone", seat.zone, "-control", strings.Join(c.controlAddresses(), ","),
		"-events", fmt.Sprint(resumeEvents), "-pause", resumePause.String())
	seat.process = p
	return err
}

// rounds lets one rater fail and another one crash, again and again.
func (c *resumeCase) rounds() error {
	time.Sleep(3 * time.Second)
	for round := range resumeRounds {
		begin := time.Now()
		if c.trouble {
			grey, crashed := c.seats[round%resumeRaters], c.seats[(round+3)%resumeRaters]
			c.say("round %d: the rater at %s fails %d of 100 requests for %v", round, grey.address, greyPercent, greyLength)
			if err := c.fail(grey, greyPercent); err != nil {
				return err
			}
			time.Sleep(crashAfter)
			c.say("round %d: the rater at %s crashes (SIGKILL)", round, crashed.address)
			crashed.kill()
			time.Sleep(crashLength)
			if err := c.startRater(crashed); err != nil {
				return err
			}
			time.Sleep(time.Until(begin.Add(greyLength)))
			if err := c.fail(grey, 0); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(begin.Add(roundLength)))
	}
	return nil
}

// fail sets the percentage of requests that a rater fails.
func (c *resumeCase) fail(seat *raterSeat, percent int) error {
	response, err := http.Get(fmt.Sprintf("http://%s/standin/fail/%d", seat.address, percent))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// traffic sends requests to the data processes in turn until stop is closed.
func (c *resumeCase) traffic(stop <-chan struct{}, clients *sync.WaitGroup) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(requestEvery):
		}
		clients.Go(func() { c.request(client, number) })
	}
}

// request sends one request and judges what the client gets.
func (c *resumeCase) request(client *http.Client, number int) {
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+number)
	front := c.data[number%len(c.data)]
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", front.ip, portFront, resumePath), strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = resumeHost
	for name, value := range map[string]string{"Attempt-Id": id, "Model": "m", "Token-Usage": "1460,80", "Deadline-Ms": "5000", "Api-Key": resumeKey,
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", number%40, number)} {
		request.Header.Set(name, value)
	}
	sent := time.Since(c.began).Seconds()
	response, err := client.Do(request)
	if err != nil {
		c.count(&c.cut)
		c.say("request %s, sent at %.3f to %s: no answer: %v", id, sent, front.name, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	seal := response.Header.Get("Response-Seal")
	switch {
	case err != nil:
		c.count(&c.cut)
		c.say("request %s, sent at %.3f to %s: %d, seal %q, cut in the answer: %v", id, sent, front.name, response.StatusCode, seal, err)
	case response.StatusCode != http.StatusOK:
		c.count(&c.rejected)
		c.say("request %s, sent at %.3f to %s: %d, seal %q", id, sent, front.name, response.StatusCode, seal)
	case string(body) == wholeStream():
		c.count(&c.whole)
	default:
		c.count(&c.short)
		c.say("BROKEN: request %s, sent at %.3f to %s: %d, seal %q, framed as complete, but the body is %q", id, sent, front.name,
			response.StatusCode, seal, body)
	}
}

// wholeStream is the body of a stream with all its pieces.
func wholeStream() string {
	var whole strings.Builder
	for event := 1; event <= resumeEvents; event++ {
		fmt.Fprintf(&whole, "id: %d\ndata: piece %d of %d\n\n", event, event, resumeEvents)
	}
	return whole.String()
}

func (c *resumeCase) count(counter *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}
