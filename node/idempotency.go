package node

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"

	"linenwheel.dev/linenwheel/decide"
	"linenwheel.dev/linenwheel/internal/codec/http1"
	"linenwheel.dev/linenwheel/internal/node/idempotency"
	"linenwheel.dev/linenwheel/internal/node/idempotency/journal"
	"linenwheel.dev/linenwheel/internal/node/idempotency/middleware"
	"linenwheel.dev/linenwheel/internal/node/options"
	"linenwheel.dev/linenwheel/internal/node/wal"
)

// minSecretBytes is the minimum length of a secret in bytes: shorter ones could be guessed.
const minSecretBytes = 16

// newIdempotency creates the stage that detects repeated requests, with its journal if there is one.
func (n *Node) newIdempotency(o *options.Repeats, log *slog.Logger) (*middleware.Middleware, error) {
	set := middleware.Settings{Classes: n.classes(o), Content: content, Encode: encodeAnswer, Decode: decodeAnswer, WallClock: n.clock.Now,
		MaxRun: n.conf.MaxDeadline,
		Table: idempotency.Settings{Classes: make([]idempotency.Class, len(n.conf.Settings.Classes)),
			Tenants: len(n.conf.Settings.Tenants), MaxEntries: o.Entries, MaxBodyBytes: o.Bytes.Bytes, PinnedRatio: o.Alpha}}
	keep, names := 0.0, []string{}
	for i, class := range n.conf.Settings.Classes {
		names = append(names, class.Name)
		w := set.Classes[i].Windows
		set.Table.Classes[i] = idempotency.Class{AtMostOnce: class.Effect == decide.Unsafe, AnsweredWindow: w.Answered, InDoubtWindow: w.Doubt}
		keep = max(keep, w.Longest())
	}
	var err error
	if set.Secret, err = secret(o.SecretFile); err != nil {
		return nil, err
	}
	if o.Journal != "" {
		disk := wal.Disk{Path: o.Journal}
		if err = disk.Make(); err != nil {
			return nil, fmt.Errorf("repeats.journal: %w", err)
		}
		if n.journalLock, err = disk.Lock(); err != nil {
			return nil, err
		}
		tenants := []string{}
		for _, t := range n.conf.Settings.Tenants {
			tenants = append(tenants, t.Name)
		}
		var found []journal.Finding
		n.journal, set.Entries, found, err = journal.Open(disk, journal.Settings{Classes: names, Tenants: tenants,
			SegmentBytes: o.Segment.Bytes, Retention: keep + n.conf.MaxDeadline, MaxCall: n.conf.MaxDeadline,
			MaxQueue: o.Queue}, n.clock.Now())
		if err != nil {
			return nil, err
		}
		set.Journal = n.journal
		for _, f := range found {
			log.Warn("journal file is damaged", "file", f.File, "byte", f.Offset, "error", f.Err)
		}
	}
	if n.peers != nil {
		n.replicatedKeys = n.peers.newReplicatedKeys(n, &set, log)
		set.Claimer, set.MaxRun = n.replicatedKeys, n.conf.MaxDeadline+n.peers.set.Claim.Ms
	}
	return middleware.New(set, n.clock, log)
}

// classes converts the options of the classes to the stage's settings; those that are not listed are off.
func (n *Node) classes(o *options.Repeats) []middleware.Class {
	list := make([]middleware.Class, len(n.conf.Settings.Classes))
	for i, class := range n.conf.Settings.Classes {
		list[i].Windows = &idempotency.Windows{}
		at := slices.IndexFunc(o.Classes, func(c options.RepeatsClass) bool { return c.Name == class.Name })
		if at < 0 {
			continue
		}
		c := &o.Classes[at]
		list[i] = middleware.Class{Enabled: true, Naming: naming(c, class.Effect), Required: c.Required, Recorded: c.Recorded && o.Journal != "",
			Replicated: c.Recorded && class.Effect == decide.Unsafe, Windows: &idempotency.Windows{Answered: c.Answered.Ms, Doubt: c.Doubt.Ms}}
	}
	return list
}

// checkClasses reports classes whose options a running process cannot apply.
func (n *Node) checkClasses(o *Options, report options.Report) {
	if n.idempotency == nil {
		return
	}
	var wrong *middleware.NamingError
	if errors.As(n.idempotency.CheckClasses(n.classes(&o.Repeats)), &wrong) {
		name := n.conf.Settings.Classes[wrong.Class].Name
		at := slices.IndexFunc(o.Repeats.Classes, func(c options.RepeatsClass) bool { return c.Name == name })
		field := func(f string) string { return fmt.Sprintf("repeats.class.%d.%s", at, f) }
		report(fmt.Sprintf("calls of class %q would be named in another way: that waits for a restart, for their repeats would not be known",
			name), field("header"), field("parts"), field("by"), field("name"))
	}
}

// updateClasses puts the changed options of the classes into force.
func (n *Node) updateClasses(o *options.Repeats) {
	if err := n.idempotency.SetClasses(n.classes(o)); err != nil { // they were validated before
		n.log.Error("idempotency classes not updated; keeping the previous ones", "error", err)
	}
}

// naming converts a class's options to the stage's settings. A class of the platform that carries a key passes it
// with the call.
func naming(c *options.RepeatsClass, effect decide.Effect) middleware.Naming {
	switch {
	case c.By == "header":
		return middleware.Naming{Header: c.Header}
	case c.By == "key" && effect == decide.Keyed:
		return middleware.Naming{Key: true}
	case c.By == "key":
		return middleware.Naming{Header: "Idempotency-Key"}
	}
	by := middleware.Naming{Path: slices.Contains(c.Parts, "path"), Query: slices.Contains(c.Parts, "query"),
		Body: slices.Contains(c.Parts, "body")}
	for _, part := range c.Parts {
		if name, ok := strings.CutPrefix(part, "header:"); ok {
			by.Headers = append(by.Headers, name)
		}
	}
	return by
}

// secret reads a secret from a file, or generates a random one.
func secret(file string) ([]byte, error) {
	if file == "" {
		b := make([]byte, 32)
		_, err := rand.Read(b)
		return b, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("repeats.secret_file: %w", err)
	}
	b := []byte(strings.TrimSpace(string(text)))
	if len(b) < minSecretBytes {
		return nil, fmt.Errorf("repeats.secret_file: %s holds %d bytes, want %d or more", file, len(b), minSecretBytes)
	}
	return b, nil
}

// encodeAnswer encodes a served answer for the journal.
func encodeAnswer(payload any) []byte {
	m, ok := payload.(*http1.Message)
	if !ok {
		return nil // a Thrift result is only kept until the process ends
	}
	return http1.AppendResponse(nil, http1.Reply{Status: 200, Of: m, Body: m.Body})
}

// decodeAnswer decodes the output of encodeAnswer, and returns nil if it cannot.
func decodeAnswer(text []byte) any {
	p := http1.NewResponses()
	p.Feed(text)
	if m, err := p.Next(); err == nil && m != nil {
		return m
	}
	return nil
}
