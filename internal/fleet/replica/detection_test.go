package replica

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// detectionVariable is the environment variable with which TestFailureDetection also measures alternative
// parameters and logs a table.
const detectionVariable = "LINENWHEEL_DETECTION"

// disturbance is a condition under which working members must not be detected as failed.
type disturbance struct {
	name  string
	apply func(sim *simulation)
}

var disturbances = []disturbance{
	{"none", func(*simulation) {}},
	{"10% lost", func(sim *simulation) { sim.lossPercent = 10 }},
	{"30% lost", func(sim *simulation) { sim.lossPercent = 30 }},
	{"disks 25x", func(sim *simulation) { sim.writeTime = 100 * time.Millisecond }},
	{"0.1 core", func(sim *simulation) { sim.stall = 90 * time.Millisecond }},
	{"120 ms", func(sim *simulation) { sim.maxDelay = 120 * time.Millisecond }},
	{"0.1 core, 10%, 25x", func(sim *simulation) {
		sim.stall, sim.lossPercent, sim.writeTime = 90*time.Millisecond, 10, 100*time.Millisecond
	}},
}

// detector is a choice of the failure detector's parameters.
type detector struct {
	heartbeat, timeout time.Duration
	refusals           bool // a refused connection counts as a failure
}

func (d detector) String() string {
	text := fmt.Sprintf("timeout %d ms, heartbeats every %d ms", d.timeout.Milliseconds(), d.heartbeat.Milliseconds())
	if d.refusals {
		text += ", refused connections"
	}
	return text
}

// newSimulation returns a fleet of three members with this detector that has committed its first order.
func (d detector) newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(seed, 3)
	sim.crashRefuses = d.refusals
	sim.configure = func(config *Config) { config.HeartbeatInterval, config.FailureTimeout = d.heartbeat, d.timeout }
	sim.runUntil(4 * time.Second)
	sim.submitUntilCommitted(t, 0, 1)
	return sim
}

// falseAlarms returns the number of view changes during one minute with orders in which all members work.
func (d detector) falseAlarms(t *testing.T, seed uint64, during disturbance) int {
	t.Helper()
	sim := d.newSimulation(t, seed)
	before := sim.view().Epoch
	during.apply(sim)
	sim.operateUntil = sim.now + time.Minute
	sim.schedule(0, func() { sim.operate(1) })
	sim.runUntil(sim.operateUntil)
	return int(sim.view().Epoch - before)
}

// detectionTime returns how long a member stays in the chain after its process has crashed or its machine has
// failed.
func (d detector) detectionTime(t *testing.T, seed uint64, machineFails bool) time.Duration {
	t.Helper()
	sim := d.newSimulation(t, seed)
	sim.runUntil(sim.now + time.Duration(sim.rand.IntN(300))*time.Millisecond)
	victim := sim.nodes[seed%3]
	member, failedAt := victim.disk.Self, sim.now
	if machineFails {
		sim.removeNode(victim)
	} else {
		sim.crash(victim)
	}
	for slices.Contains(sim.view().Chain, member) && sim.now < failedAt+time.Minute {
		sim.runUntil(sim.now + 5*time.Millisecond)
	}
	return sim.now - failedAt
}

// detectionTimes returns the mean and the maximum detection time over a number of seeds.
func (d detector) detectionTimes(t *testing.T, seeds uint64, machineFails bool) (mean, longest time.Duration) {
	t.Helper()
	for seed := range seeds {
		took := d.detectionTime(t, seed, machineFails)
		mean += took / time.Duration(seeds)
		longest = max(longest, took)
	}
	return mean, longest
}

// defaultDetector returns the parameters of DefaultConfig, with refused connections detected as the control
// process does.
func defaultDetector() detector {
	config := DefaultConfig()
	return detector{config.HeartbeatInterval, config.FailureTimeout, true}
}

// A member whose process has ended is replaced in the chain at once, because its machine refuses connections. A
// member whose machine does not respond is replaced after FailureTimeout. Slow disks, little processor time and
// lossy links must not be detected as failures.
func TestFailureDetection(t *testing.T) {
	d := defaultDetector()
	seeds := fewerWithRaceDetector(12)
	_, crashed := d.detectionTimes(t, seeds, false)
	require.Less(t, crashed, 300*time.Millisecond, "a process has ended")
	_, silent := d.detectionTimes(t, seeds, true)
	require.Less(t, silent, 1100*time.Millisecond, "a machine does not respond")
	for _, during := range disturbances {
		if strings.Contains(during.name, "30%") {
			continue // links that lose this many packets do cause view changes
		}
		for seed := range fewerWithRaceDetector(2) {
			require.Zero(t, d.falseAlarms(t, seed, during), "%s, seed %d", during.name, seed)
		}
	}
	if os.Getenv(detectionVariable) != "" {
		logDetectionTable(t)
	}
}

// logDetectionTable logs, for each set of parameters, the detection times and the false alarms under each
// disturbance.
func logDetectionTable(t *testing.T) {
	const seeds = 20
	header := "parameters | ended process, mean / maximum ms | unresponsive machine, mean / maximum ms"
	for _, during := range disturbances {
		header += " | " + during.name
	}
	t.Log(header)
	for _, d := range []detector{
		{150 * time.Millisecond, 700 * time.Millisecond, false},
		{150 * time.Millisecond, 700 * time.Millisecond, true},
		{150 * time.Millisecond, 500 * time.Millisecond, true},
		{150 * time.Millisecond, 350 * time.Millisecond, true},
		{100 * time.Millisecond, 700 * time.Millisecond, true},
		{100 * time.Millisecond, 500 * time.Millisecond, true},
		{100 * time.Millisecond, 350 * time.Millisecond, true},
		{50 * time.Millisecond, 500 * time.Millisecond, true},
		{50 * time.Millisecond, 350 * time.Millisecond, true},
		{50 * time.Millisecond, 200 * time.Millisecond, true},
	} {
		crashed, crashedLongest := d.detectionTimes(t, seeds, false)
		silent, silentLongest := d.detectionTimes(t, seeds, true)
		row := fmt.Sprintf("%v | %d / %d | %d / %d", d, crashed.Milliseconds(), crashedLongest.Milliseconds(), silent.Milliseconds(),
			silentLongest.Milliseconds())
		for _, during := range disturbances {
			alarms := 0
			for seed := range uint64(seeds) {
				alarms += d.falseAlarms(t, seed, during)
			}
			row += fmt.Sprintf(" | %d", alarms)
		}
		t.Log(row)
	}
}
