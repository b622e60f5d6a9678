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

// keyTransferState is the state of the transfer of idempotency keys between two processes of a node.
type keyTransferState struct {
	work     sync.WaitGroup // running transfers
	mu       sync.Mutex
	sender   *transfer.Sender   // nil = no other process has taken over
	receiver *transfer.Receiver // nil = no predecessor hands keys over, or it cannot be reached any more
}

// KeyFingerprint identifies how a node derives the idempotency keys that it hands over to a process that takes its
// place: two processes with the same fingerprint derive the same keys, with the same capacity and windows for
// them. It is empty for a node that hands none over. It returns an error if the secret cannot be read.
func KeyFingerprint(conf *Config, o *Options) (string, error) {
	if !o.Repeats.On || o.Repeats.Journal != "" || o.Peers.Fleet != "" {
		return "", nil
	}
	key := []byte{} // a random secret is handed over with the keys
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
		return "", fmt.Errorf("fingerprint of the idempotency keys: %w", err)
	}
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte("linenwheel names handed over")) // a hash's Write does not fail
	_, _ = mac.Write(text)
	return hex.EncodeToString(mac.Sum(nil)), nil
}

// KeyFingerprint returns the fingerprint for the options in force.
func (n *Node) KeyFingerprint() (string, error) { return KeyFingerprint(n.conf, n.opts.Load()) }

// AwaitKeys makes calls of deduplicated classes wait for the keys of the previous process, to which send transmits
// messages. It is for a node that does not accept yet.
func (n *Node) AwaitKeys(send func(json.RawMessage) error) {
	if n.idempotency == nil {
		return
	}
	n.keyTransfer.mu.Lock()
	defer n.keyTransfer.mu.Unlock()
	n.keyTransfer.receiver = transfer.Await(n.idempotency, n.clock, n.log.With("part", "repeats"), send)
}

// AwaitsKeys reports whether a previous process can still be asked for its keys.
func (n *Node) AwaitsKeys() bool {
	n.keyTransfer.mu.Lock()
	defer n.keyTransfer.mu.Unlock()
	return n.keyTransfer.receiver != nil
}

// GiveNames sends the idempotency keys to the process that accepts in place of this one, to which send transmits
// messages. It does not wait.
func (n *Node) GiveNames(send func(json.RawMessage) error) {
	if n.idempotency == nil {
		return
	}
	n.keyTransfer.mu.Lock()
	defer n.keyTransfer.mu.Unlock()
	n.keyTransfer.sender = transfer.NewSender(n.idempotency, n.clock, n.log.With("part", "repeats"), send)
	n.keyTransfer.work.Go(n.keyTransfer.sender.Run) // it ends at the latest when the channel to the other process does
}

// ReceiveFromSuccessor handles a message about keys from the process that took over. Messages arrive in order.
func (n *Node) ReceiveFromSuccessor(names json.RawMessage) {
	n.keyTransfer.mu.Lock()
	sender := n.keyTransfer.sender
	n.keyTransfer.mu.Unlock()
	if sender != nil {
		n.logUnreadable(sender.Receive(names))
	}
}

// SuccessorGone records that no further message comes from the process that took over: from here on, requests that
// must not run twice are refused.
func (n *Node) SuccessorGone() {
	n.keyTransfer.mu.Lock()
	sender := n.keyTransfer.sender
	n.keyTransfer.mu.Unlock()
	if sender != nil {
		sender.Lost()
	}
}

// ReceiveFromPredecessor handles a message about keys from the previous process. Messages arrive in order.
func (n *Node) ReceiveFromPredecessor(names json.RawMessage) {
	n.keyTransfer.mu.Lock()
	receiver := n.keyTransfer.receiver
	n.keyTransfer.mu.Unlock()
	if receiver != nil {
		n.logUnreadable(receiver.Receive(names))
	}
}

// PredecessorGone records that no further message comes from the previous process; alive tells whether that
// process still runs.
func (n *Node) PredecessorGone(alive bool) {
	n.keyTransfer.mu.Lock()
	receiver := n.keyTransfer.receiver
	n.keyTransfer.receiver = nil
	n.keyTransfer.mu.Unlock()
	if receiver != nil {
		receiver.Lost(alive)
	}
}

func (n *Node) logUnreadable(err error) {
	if err != nil {
		n.log.Error("cannot read a message about idempotency keys from another process", "error", err)
	}
}
