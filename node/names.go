package node

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"

	"linenwheel.dev/linenwheel/internal/node/idempotency/transfer"
)

// passing is what a node has to do with another process of it where names are handed over.
type passing struct {
	work  sync.WaitGroup // the names being sent
	mu    sync.Mutex
	giver *transfer.Sender   // nil = no other process has taken over
	heir  *transfer.Receiver // nil = there is no process before that hands names over, or it cannot be spoken with any more
}

// NamesMark says how a node makes the names of calls that it hands over to a process which takes its place: two processes of one
// mark make the same names, with the same room and windows for them. It is empty for a node that hands none over. The error is that
// of a secret that cannot be read.
func KeyFingerprint(conf *Config, o *Options) (string, error) {
	if !o.Repeats.On || o.Repeats.Journal != "" || o.Peers.Fleet != "" {
		return "", nil
	}
	key := []byte{} // a secret that is drawn is handed over with the names
	if o.Repeats.SecretFile != "" {
		var err error
		if key, err = secret(o.Repeats.SecretFile); err != nil {
			return "", err
		}
	}
	type class struct {
		Name   string
		Effect any
	}
	made := struct {
		Repeats any
		Classes []class
		Tenants []string
	}{Repeats: o.Repeats}
	for _, c := range conf.Settings.Classes {
		made.Classes = append(made.Classes, class{c.Name, c.Effect})
	}
	for _, t := range conf.Settings.Tenants {
		made.Tenants = append(made.Tenants, t.Name)
	}
	text, err := json.Marshal(made)
	if err != nil {
		return "", fmt.Errorf("how names are made: %w", err)
	}
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("linenwheel names handed over")) // it does not fail
	_, _ = mac.Write(text)
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// NamesMark is the mark of the options that hold now.
func (n *Node) KeyFingerprint() (string, error) { return KeyFingerprint(n.conf, n.opts.Load()) }

// AwaitNames has calls that are recognised wait for the names of the process before, which is told things by send. It is for a node
// that does not accept yet.
func (n *Node) AwaitKeys(send func(json.RawMessage) error) {
	if n.repeats == nil {
		return
	}
	n.pass.mu.Lock()
	defer n.pass.mu.Unlock()
	n.pass.heir = transfer.Await(n.repeats, n.clock, n.log.With("part", "repeats"), send)
}

// Heir tells whether a process before this one can still ask it for names.
func (n *Node) AwaitsKeys() bool {
	n.pass.mu.Lock()
	defer n.pass.mu.Unlock()
	return n.pass.heir != nil
}

// GiveNames hands the names over to a process that accepts in this one's place and is told things by send. It does not wait.
func (n *Node) GiveNames(send func(json.RawMessage) error) {
	if n.repeats == nil {
		return
	}
	n.pass.mu.Lock()
	defer n.pass.mu.Unlock()
	n.pass.giver = transfer.NewSender(n.repeats, n.clock, n.log.With("part", "repeats"), send)
	n.pass.work.Go(n.pass.giver.Run) // it ends with the channel at the latest
}

// HeirSays takes what the process that took over says of names, in order.
func (n *Node) ReceiveFromSuccessor(names json.RawMessage) {
	n.pass.mu.Lock()
	giver := n.pass.giver
	n.pass.mu.Unlock()
	if giver != nil {
		n.unread(giver.Receive(names))
	}
}

// HeirGone tells that the process that took over says no more: what must not run twice is refused from here on.
func (n *Node) SuccessorGone() {
	n.pass.mu.Lock()
	giver := n.pass.giver
	n.pass.mu.Unlock()
	if giver != nil {
		giver.Lost()
	}
}

// BeforeSays takes what the process before says of names, in order.
func (n *Node) ReceiveFromPredecessor(names json.RawMessage) {
	n.pass.mu.Lock()
	heir := n.pass.heir
	n.pass.mu.Unlock()
	if heir != nil {
		n.unread(heir.Receive(names))
	}
}

// BeforeGone tells that the process before says no more, and whether it goes on.
func (n *Node) PredecessorGone(alive bool) {
	n.pass.mu.Lock()
	heir := n.pass.heir
	n.pass.heir = nil
	n.pass.mu.Unlock()
	if heir != nil {
		heir.Lost(alive)
	}
}

func (n *Node) unread(err error) {
	if err != nil {
		n.log.Error("what another process says of names cannot be read", "error", err)
	}
}
