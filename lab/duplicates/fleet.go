package duplicates

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"linenwheel.dev/linenwheel/lab/circle"
)

// Fleet is several nodes that hold names for each other, with keepers, and what is done to them.
type Fleet struct {
	Nodes      int
	Keepers    int
	Program    string        // linenwheel-keep
	FaultEvery time.Duration // between two faults; 0 = none
	Kinds      []string      // of faults, drawn from; empty = all
	Unsynced   bool
	Usual      bool              // keepers miss a lost leader after 500 ms, as by default, not after 1 s
	Heed       bool              // gateways that were refused come back no sooner than they were told to
	OrdersWait string            // of nodes, for what operators had ordered; empty = as nodes do by default
	Alone      bool              // nodes hold names each for itself: the judge must find charges that ran twice
	Until      func(Result) bool // posts go on until it says that the play has met what it is for; nil = Settings.Posts are all
}

// MajorityKilled is a fault beside FaultKinds: for a while nothing can be agreed, and charges must be refused.
const MajorityKilled = "majority killed"

// FaultKinds are the faults of a fleet. At each moment a majority of the keepers could live.
var FaultKinds = []string{"node burnt", "node stopped", "node stopped for long", "keeper burnt", "keeper killed", "keeper cut", "keeper stopped", "leader killed",
	"leader deaf", "leader ended", "machine lost"}

// faultLimit only ends a fault that hangs.
const faultLimit = 5 * time.Minute

const fleetOptions = `[repeats]
on = true
secret_file = %q
[[repeats.class]]
name = "post-charge"
by = "header"
header = "Charge"
answered = "60s"
doubt = "60s"
recorded = %t
[peers]
fleet = %q
keepers = ["k0"]
try = "400ms"
claim = "1500ms"
`

// gather starts the keepers and writes what nodes are told of them.
func (w *world) gather(ctx context.Context, f *Fleet) (*circle.Circle, error) {
	dir, err := filepath.Abs(filepath.Join(w.set.Dir, "keepers"))
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	names := []string{}
	for i := range f.Keepers {
		names = append(names, fmt.Sprint("k", i))
	}
	c, err := circle.New(names, circle.Options{Program: f.Program, Dir: dir, Usual: f.Usual, Extra: fmt.Sprintf("synced = %t", !f.Unsynced)})
	if err != nil {
		return nil, err
	}
	if err := c.Found(ctx, names); err != nil {
		c.Close()
		return nil, err
	}
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("the secret of a lab"), 0o600); err != nil {
		c.Close()
		return nil, err
	}
	ask := c.Settings("node")
	text := fmt.Sprintf(fleetOptions, secret, !f.Alone, ask.Fleet)
	if f.OrdersWait != "" {
		text += fmt.Sprintf("orders_wait = %q\n", f.OrdersWait)
	}
	for _, k := range ask.Replicas {
		text += fmt.Sprintf("[[peers.member]]\nname = %q\naddress = %q\n", k.Name, k.Address)
	}
	w.set.Options = filepath.Join(dir, "node.toml")
	if err := os.WriteFile(w.set.Options, []byte(text), 0o600); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// trouble makes one fault after the other until ctx ends, each over before the next.
func (w *world) trouble(ctx context.Context, f *Fleet, c *circle.Circle, nodes []*child) {
	luck := rand.New(rand.NewPCG(w.set.Seed, 3))
	kinds := f.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for i := 0; ; i++ {
		pause(f.FaultEvery)
		if ctx.Err() != nil {
			return
		}
		kind := kinds[luck.IntN(len(kinds))]
		if i < len(kinds) {
			kind = kinds[i] // each at least once, where there is time
		}
		w.mu.Lock()
		w.result.Faults[kind]++
		w.mu.Unlock()
		if err := w.strike(kind, f, c, nodes, luck, pause); err != nil {
			w.mu.Lock()
			w.result.Trouble = append(w.result.Trouble, kind+": "+err.Error())
			w.mu.Unlock()
			return
		}
	}
}

//nolint:funlen // one case a kind, each a few lines
func (w *world) strike(kind string, f *Fleet, c *circle.Circle, nodes []*child, luck *rand.Rand, pause func(time.Duration)) error {
	ctx, stop := context.WithTimeout(context.Background(), faultLimit) // faults are ended even when the play is over
	defer stop()
	node, keeper := nodes[luck.IntN(len(nodes))], fmt.Sprint("k", luck.IntN(f.Keepers))
	lead := kind == "leader killed" || kind == "leader deaf" || kind == "leader ended" || kind == "machine lost"
	if lead { // it ends once another one leads, however soon that is
		var err error
		if keeper, err = c.Leader(ctx); err != nil {
			return err
		}
	}
	short := time.Duration(200+luck.IntN(800)) * time.Millisecond
	switch kind {
	case "node burnt":
		node.get().Kill()
		return node.begin() // it keeps nothing: what it had is gone with it
	case "node stopped", "node stopped for long":
		if kind == "node stopped for long" { // longer than its claim
			short += 2 * time.Second
		}
		if err := node.get().Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(short)
		return node.get().Signal(syscall.SIGCONT)
	case "keeper burnt":
		c.Kill(keeper)
		if err := c.Wipe(keeper); err != nil {
			return err
		}
		if err := c.Start(keeper); err != nil {
			return err
		}
		return c.Replace(ctx, keeper)
	case "machine lost": // a node and the keeper that leads, with all that both had; empty ones come in their place
		node.get().Kill()
		c.Kill(keeper)
		if err := c.Wipe(keeper); err != nil {
			return err
		}
		pause(short)
		if err := c.Start(keeper); err != nil {
			return err
		}
		return errors.Join(node.begin(), c.Replace(ctx, keeper))
	case MajorityKilled:
		other := fmt.Sprint("k", (keeper[1]-'0'+1)%byte(f.Keepers))
		c.Kill(keeper)
		c.Kill(other)
		pause(short)
		if err := c.Start(other); err != nil {
			return err
		}
		if err := c.Start(keeper); err != nil {
			return err
		}
	case "keeper killed", "leader killed", "leader ended":
		if kind == "leader ended" { // as operators do
			c.End(keeper)
		} else {
			c.Kill(keeper)
		}
		pause(short)
		if lead {
			if err := c.Moved(ctx, keeper); err != nil {
				return err
			}
		}
		if err := c.Start(keeper); err != nil {
			return err
		}
	case "keeper cut", "leader deaf":
		c.Trouble(keeper, kind == "keeper cut", true, circle.Trouble{Refuse: true})
		pause(short)
		if lead {
			if err := c.Moved(ctx, keeper); err != nil {
				return err
			}
		}
		c.Trouble(keeper, true, true, circle.Trouble{})
	case "keeper stopped":
		c.Pause(keeper, true)
		pause(short)
		c.Pause(keeper, false)
	}
	return c.Caught(ctx, keeper)
}
