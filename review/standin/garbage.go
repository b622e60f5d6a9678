package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. Of 4 raters, 2 (a share of 0.5) spoil 2 of 100 of their answers, for 5 s at a time.
const (
	garbageRaters  = 4
	garblePercent  = 2
	garbleRounds   = 14
	garbleLength   = 5 * time.Second
	garblePause    = 2 * time.Second
	garbageEvery   = 16 * time.Millisecond
	clientPatience = 3200 * time.Millisecond // four times TargetLatencyMs without an event
	memoryLimitMB  = 284                     // Limits.MemoryMb
	memoryCheck    = 20 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	maxOwnEnds     = 2      // on more than one machine
	garbagePer10ms = 625000 // 500 Mbit/s, half of a machine's link
)

// garbageCase holds how often the processes went over their memory.
type garbageCase struct {
	*stage
	mu       sync.Mutex
	ends     map[string]int // by machine
	peaks    map[string]int // MB
	served   int
	failures map[string]int
}

// playGarbage breaks Fault: a rater in trouble sends bytes that are no answer. The data processes keep them all and
// go over their memory, again and again.
func playGarbage(s *stage) (bool, error) {
	c := &garbageCase{stage: s, ends: map[string]int{}, peaks: map[string]int{}, failures: map[string]int{}}
	if err := s.startFleet(3, 3); err != nil {
		return false, err
	}
	if status, err := s.configure(http.MethodPut, 0, resumeConfiguration()); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("first configuration: status %d, %w", status, err)
	}
	var raters []string
	for i := range garbageRaters {
		address := fmt.Sprintf("%s:%d", s.host(), portRater)
		raters = append(raters, address)
		if _, err := s.start("rater-"+address, "", s.binary, "rater", "-id", "i-"+strings.NewReplacer(".", "", ":", "").Replace(address),
			"-service", "huvo11a", "-address", address, "-zone", fmt.Sprintf("zone-%d", i%3+1), "-control",
			strings.Join(s.controlAddresses(), ","), "-events", "4", "-pause", "20ms"); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var work sync.WaitGroup
	for _, m := range s.data {
		work.Go(func() { c.platform(m, stop) })
	}
	work.Go(func() { c.traffic(stop, &work) })
	err := c.rounds(raters[:garbageRaters/2])
	close(stop)
	work.Wait()
	if err != nil {
		return false, err
	}
	for _, address := range raters {
		s.copyLog("rater-"+address+".log", func(line string) bool { return strings.HasPrefix(line, "garbage") })
	}
	return c.judge()
}

// rounds lets raters spoil answers for garbleLength at a time.
func (c *garbageCase) rounds(raters []string) error {
	for round := range garbleRounds {
		if err := c.garble(raters, garblePercent); err != nil {
			return err
		}
		c.say("round %d begins", round)
		time.Sleep(garbleLength)
		if err := c.garble(raters, 0); err != nil {
			return err
		}
		time.Sleep(garblePause)
	}
	return nil
}

// garble sets the percentage of answers that raters spoil. Without the disruption it does nothing.
func (c *garbageCase) garble(raters []string, percent int) error {
	if !c.trouble {
		return nil
	}
	for _, address := range raters {
		response, err := http.Get(fmt.Sprintf("http://%s/standin/garble/%d", address, percent))
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		c.say("the rater at %s spoils %d of 100 answers", address, percent)
	}
	return nil
}

// judge applies the rule: on two machines at least, processes ended by themselves three times.
func (c *garbageCase) judge() (bool, error) {
	c.say("%d streams whole; others: %v", c.served, c.failures)
	often := 0
	for _, m := range c.data {
		c.say("%s: over %d MB %d times, peak %d MB", m.name, memoryLimitMB, c.ends[m.name], c.peaks[m.name])
		if c.ends[m.name] > maxOwnEnds {
			often++
		}
	}
	if c.served == 0 {
		return false, errors.New("no stream was served")
	}
	return often > 1, nil
}

// platform ends a data process that goes over its memory, and starts it again after a short delay.
func (c *garbageCase) platform(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		used := memoryOf(m.command.Process.Pid)
		c.mu.Lock()
		c.peaks[m.name] = max(c.peaks[m.name], used)
		c.mu.Unlock()
		if used <= memoryLimitMB {
			continue
		}
		m.kill()
		c.mu.Lock()
		c.ends[m.name]++
		c.mu.Unlock()
		c.say("%s: the process uses %d MB, over its %d MB: the platform ends it", m.name, used, memoryLimitMB)
		time.Sleep(restartDelay)
		if err := c.boot(m, false); err != nil {
			c.say("%s: %v", m.name, err)
			return
		}
	}
}

// memoryOf returns the memory of a process that is its own, in MB; 0 if it has ended.
func memoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// traffic sends streams to the data processes in turn.
func (c *garbageCase) traffic(stop <-chan struct{}, work *sync.WaitGroup) {
	client := &http.Client{Timeout: clientPatience, Transport: &http.Transport{MaxIdleConnsPerHost: 50}}
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(garbageEvery):
		}
		work.Go(func() {
			outcome := c.request(client, number)
			c.mu.Lock()
			defer c.mu.Unlock()
			if outcome == "" {
				c.served++
				return
			}
			c.failures[outcome]++
		})
	}
}

// request sends one stream and returns how it failed, "" if it was whole.
func (c *garbageCase) request(client *http.Client, number int) string {
	front := c.data[number%len(c.data)]
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", front.ip, portFront, resumePath), strings.NewReader("prompt"))
	if err != nil {
		return err.Error()
	}
	request.Host = resumeHost
	for name, value := range map[string]string{"Attempt-Id": fmt.Sprintf("%016x", 0x1c41d07be2000000+number), "Model": "m", "Token-Usage": "1460,80",
		"Deadline-Ms": "5000", "Api-Key": resumeKey, "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%08x:250", number%40, number)} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return c.failed(number, front, "no answer")
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	switch {
	case err != nil:
		return c.failed(number, front, "cut in the answer")
	case response.StatusCode != http.StatusOK:
		return c.failed(number, front, fmt.Sprint(response.StatusCode))
	}
	return ""
}

// failed records a request that was not served.
func (c *garbageCase) failed(number int, front *machine, outcome string) string {
	c.say("request %d to %s: %s", number, front.name, outcome)
	return outcome
}

// sendGarbage sends bytes that are no answer at half the rate of a machine's link, until the connection is closed.
func sendGarbage(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	garbage := []byte(strings.Repeat("no answer, ", garbagePer10ms/11))
	for begin, sent := time.Now(), 0; time.Since(begin) < 15*time.Second; sent++ {
		if _, err := connection.Write(garbage); err != nil {
			fmt.Fprintf(os.Stdout, "garbage ended after %v and %d MB: %v\n", time.Since(begin).Round(time.Millisecond), sent*len(garbage)>>20, err)
			return
		}
		time.Sleep(time.Until(begin.Add(time.Duration(sent+1) * 10 * time.Millisecond)))
	}
}
