package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/rollout"
	"linenwheel.dev/linenwheel/internal/node/scenario"
)

// idempotentOptions returns options that detect repeats of payments by a header and of alerts by their key.
func idempotentOptions() Options {
	o := DefaultOptions()
	o.Repeats.On = true
	window := options.Duration{Ms: 30000}
	o.Repeats.Classes = []options.RepeatsClass{{Name: "pay", By: "header", Header: "Charge", Answered: window, Doubt: window},
		{Name: "alert", By: "key", Answered: window, Doubt: window}}
	return o
}

// Guards against a repeat that runs a second time, gets another response, or is reported as safe to retry when it
// is not, whether it arrives during the run, after the response, after a timeout, or with other content.
func TestRepeats(t *testing.T) {
	o := idempotentOptions()
	s, _ := startNode(t, Extras{Options: &o}, 1024, []string{"h1", "h2"})
	s.Run(begin("h1", "h2") + `
		a send POST /pay/1 id=q1 deadline=900 Charge=c1 body=x
		r expect POST /pay/1 id=q1
		c send POST /pay/1 id=q3 deadline=900 Charge=c1 body=y
		c expect 422
		b send POST /pay/1 id=q2 deadline=900 Charge=c1 body=x
		r send 200 Content-Type=text/x body=ok
		a expect 200 body=ok
		b expect 200 Content-Type=text/x body=ok
		c send POST /pay/1 id=q4 deadline=900 Charge=c1 body=x
		c expect 200 body=ok
		wait 5
		c send POST /pay/1 id=q5 deadline=900 Charge=c2 body=x
		r expect POST /pay/1 id=q5
		wait 600
		c expect 502
		c send POST /pay/1 id=q6 deadline=900 Charge=c2 body=x
		c expect 409
		c send POST /pay/1 id=q7 deadline=900 Charge=c3 body=x
		r expect POST /pay/1 id=q7
		r send 503 declined=1
		s expect POST /pay/1 id=q7
		s send 503 declined=1
		c expect 503
		wait 5
		c send POST /pay/1 id=q8 deadline=900 Charge=c3 body=x
		r expect POST /pay/1 id=q8
		r send 200 body=late
		c expect 200 body=late`)
}

// Guards against a node that forgets at a restart which requests may have run, and against two nodes that write to
// one journal.
func TestRepeatsOverARestart(t *testing.T) {
	dir := t.TempDir()
	o := idempotentOptions()
	o.Repeats.Journal, o.Repeats.SecretFile = filepath.Join(dir, "journal"), filepath.Join(dir, "secret")
	o.Repeats.Classes[0].Recorded = true
	require.NoError(t, os.Mkdir(o.Repeats.Journal, 0o700))
	require.NoError(t, os.WriteFile(o.Repeats.SecretFile, []byte("0123456789abcdef\n"), 0o600))
	t.Run("before", func(t *testing.T) {
		s, n := startNode(t, Extras{Options: &o}, 1024, []string{"h1"})
		s.Run(begin("h1") + `
			a send POST /pay/1 id=q1 deadline=900 Charge=c1 body=x
			r expect POST /pay/1 id=q1
			r send 200 body=ok
			a expect 200 body=ok
			wait 5
			a send POST /pay/1 id=q2 deadline=900 Charge=c2 body=x
			r expect POST /pay/1 id=q2
			wait 600
			a expect 502`)
		_, err := New(n.conf, Extras{Options: &o})
		require.ErrorContains(t, err, "another process has the folder open")
	})
	t.Run("after", func(t *testing.T) {
		s, _ := startNode(t, Extras{Options: &o}, 1024, []string{"h1"})
		s.Run(begin("h1") + `
			a send POST /pay/1 id=q3 deadline=900 Charge=c1 body=x
			a expect 200 body=ok
			a send POST /pay/1 id=q4 deadline=900 Charge=c2 body=x
			a expect 409
			a send POST /pay/1 id=q5 deadline=900 Charge=c3 body=x
			r expect POST /pay/1 id=q5`)
	})
}

// Guards against a payment that runs twice because SIGHUP made its class's windows shorter, or removed the class
// and restored it, or because of a restart in between; against windows that do not change for keys recorded from
// then on; and against a file that is applied though it derives the keys of calls in another way.
func TestClassesChange(t *testing.T) {
	dir := t.TempDir()
	o := idempotentOptions()
	o.Repeats.Classes = o.Repeats.Classes[:1]
	o.Repeats.Journal, o.Repeats.SecretFile = filepath.Join(dir, "journal"), filepath.Join(dir, "secret")
	require.NoError(t, os.Mkdir(o.Repeats.Journal, 0o700))
	require.NoError(t, os.WriteFile(o.Repeats.SecretFile, []byte("0123456789abcdef\n"), 0o600))
	log := &logged{stopping: make(chan struct{})}
	short := o
	t.Run("before", func(t *testing.T) {
		s, n := startNode(t, Extras{Options: &o, Log: slog.New(slog.NewTextHandler(log, nil))}, 1024, []string{"h1"})
		s.Run(begin("h1") + `
			a send POST /pay/1 id=q1 deadline=900 Charge=c1 body=x
			r expect POST /pay/1 id=q1
			r send 200 body=one
			a expect 200 body=one
			wait 5
			a send POST /pay/1 id=q2 deadline=900 Charge=c2 body=x
			r expect POST /pay/1 id=q2
			node send shorter
			b send POST /pay/1 id=q3 deadline=900 Charge=c2 body=x
			r send 200 body=two
			a expect 200 body=two
			b expect 200 body=two
			wait 5
			node send without
			a send POST /pay/1 id=q4 deadline=900 Charge=c1 body=x
			a expect 200 body=one
			a send POST /pay/1 id=q5 deadline=900 Charge=c3 body=x
			r expect POST /pay/1 id=q5
			r send 200 body=three
			a expect 200 body=three
			wait 5
			node send renamed
			node send shorter
			a send POST /pay/1 id=q6 deadline=900 Charge=c1 body=x
			a expect 200 body=one
			a send POST /pay/1 id=q7 deadline=900 Charge=c4 body=x
			r expect POST /pay/1 id=q7
			r send 200 body=four
			a expect 200 body=four
			wait 5`)
		short.Repeats.Classes = n.opts.Load().Repeats.Classes
		require.Equal(t, 20000.0, short.Repeats.Classes[0].Answered.Ms)
		_, err := n.optionsUnder(&n.localOptions, rollout.Document{Number: 1, Hash: "h", Text: classFile("pay", "Other", 30)})
		require.ErrorContains(t, err, "policy h:4:1: repeats.class.0.header: calls of class \"pay\" would be named in another way")
	})
	require.Contains(t, log.text.String(), "renamed.toml:6:1: repeats.class.0.header: calls of class \\\"pay\\\" would be named in another way")
	t.Run("after", func(t *testing.T) {
		// The clock is advanced before the node starts, so that no query for the list is under way. Each run's
		// clock starts at the same time, and the first run took 20 ms, so the second one starts after the shorter
		// window of 20 s and before the longer one of 30 s.
		s, n := startTuned(t, Extras{Options: &short}, 1024, func(s *scenario.Stage, _ map[string]any) { s.Clock.Advance(22000) }, []string{"h1"})
		s.Run(begin("h1") + `
			a send POST /pay/1 id=q8 deadline=900 Charge=c1 body=x
			a expect 200 body=one
			a send POST /pay/1 id=q9 deadline=900 Charge=c2 body=x
			a expect 200 body=two
			a send POST /pay/1 id=q10 deadline=900 Charge=c4 body=x
			r expect POST /pay/1 id=q10
			r send 200 body=five
			a expect 200 body=five`)
		require.Equal(t, 3, n.idempotency.Counts().Entries)
	})
}
