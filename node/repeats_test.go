package node

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/options"
)

// knowing are options that recognise repeats of charges by a header and of alerts by their key.
func knowing() Options {
	o := DefaultOptions()
	o.Repeats.On = true
	window := options.Duration{Ms: 30000}
	o.Repeats.Classes = []options.RepeatsClass{{Name: "pay", By: "header", Header: "Charge", Answered: window, Doubt: window},
		{Name: "alert", By: "key", Answered: window, Doubt: window}}
	return o
}

// Guards against a repeat that runs a second time, gets another answer or is told that trying again is harmless when it is
// not, whether it comes during the run, after its answer, after a time-out, or with another content.
func TestRepeats(t *testing.T) {
	o := knowing()
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

// Guards against a node that forgets at a restart what may have run, and against two that write to one journal.
func TestRepeatsOverARestart(t *testing.T) {
	dir := t.TempDir()
	o := knowing()
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
