package etcd

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"

	"linenwheel.dev/linenwheel/internal/node/dispatch"
	"linenwheel.dev/linenwheel/internal/node/endpoints/entryformat"
)

// ConfirmKey is the name under the prefix whose value, a revision in decimal digits, confirms what was held up to it.
const ConfirmKey = "@confirm"

// What a Tracker finds wrong, wrapped.
var (
	// ErrBehind means that a member shows less than was seen. It lags, or it was restored from a backup.
	ErrBehind = errors.New("the member is behind what was seen")
	// ErrHistory means that what a member shows cannot have come of what was seen: another cluster, or a backup.
	ErrForeignHistory = errors.New("the history is another one")
	// ErrLost means that something was missed: the list is to be read anew.
	ErrMissedChange = errors.New("a change was missed")
	// ErrOdd means that a member said what etcd never says.
	ErrProtocol = errors.New("the member contradicts itself")
	// ErrMany means that there are more keys than can be taken.
	ErrTooManyKeys = errors.New("too many keys")
)

// Update is what has changed, all at one revision.
type Update struct {
	Whole    bool            // Hosts are all; else those that changed, one that is pilot.Gone has left
	Revision int64           // up to which this is all there is
	Hosts    []dispatch.Host // by name
	Unusable []string        // what is wrong with values that cannot be used
	Confirm  uint64          // the revision up to which what was held is meant; 0 = nothing is said of that
}

// Tracker keeps what the keys under a prefix say, and finds out whether what it is shown can follow from that. It is
// pure: no I/O, no lock, no clock. It holds one entry for each key, most of them at the most.
type Tracker struct {
	prefix  string
	most    int
	cluster uint64 // 0 = none was seen
	term    uint64 // the highest
	rev     int64  // up to which all changes were seen; 0 = there is no list
	sure    int64  // up to which a list or a check has proved it
	keys    map[string]key
}

// key is one key.
type key struct {
	mod   int64
	sum   uint64 // of its value
	good  bool   // host is what a value said,
	host  dispatch.Host
	stale bool // but not the last one, which cannot be used
}

// NewTracker makes a tracker that has seen nothing. It takes the first cluster for the right one, unless one is named.
func NewTracker(prefix string, most int, cluster uint64) *Tracker {
	return &Tracker{prefix: prefix, most: most, cluster: cluster, keys: map[string]key{}}
}

// Revision is the one up to which all changes were seen; 0 = a list is needed first.
func (t *Tracker) Revision() int64 { return t.rev }

// Epoch names the cluster whose revisions these are, as etcd's own tools do it.
func (t *Tracker) Epoch() string { return strconv.FormatUint(t.cluster, 16) }

// Cluster reads the name of a history: a cluster's as etcd's own tools have it, and behind a slash, where the operators
// have taken a backup for the cluster that it was made of, whatever tells that history from the one before.
func ClusterID(history string) (uint64, error) {
	id, _, _ := strings.Cut(history, "/")
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%q is not a cluster's name in hexadecimal digits", id)
	}
	return n, nil
}

// follows tells whether who gives a header may be behind what was seen.
func (t *Tracker) follows(h *etcdserverpb.ResponseHeader) error {
	switch {
	case h == nil:
		return fmt.Errorf("%w: no header", ErrProtocol)
	case t.cluster != 0 && h.ClusterId != t.cluster:
		return fmt.Errorf("%w: cluster %x, want %x", ErrForeignHistory, h.ClusterId, t.cluster)
	case h.Revision < t.rev && h.RaftTerm < t.term:
		return fmt.Errorf("%w: revision %d of term %d after %d of term %d, as a backup would have", ErrBehind, h.Revision, h.RaftTerm,
			t.rev, t.term)
	case h.Revision < t.rev:
		return fmt.Errorf("%w: revision %d after %d", ErrBehind, h.Revision, t.rev)
	case h.RaftTerm < t.term:
		return fmt.Errorf("%w: term %d after %d", ErrBehind, h.RaftTerm, t.term)
	}
	return nil
}

func (t *Tracker) note(h *etcdserverpb.ResponseHeader) {
	t.cluster, t.term = h.ClusterId, max(t.term, h.RaftTerm)
}

// List takes all keys as they were at a revision.
func (t *Tracker) ApplyList(h *etcdserverpb.ResponseHeader, rev int64, kvs []*mvccpb.KeyValue) (u Update, err error) {
	if err := t.follows(h); err != nil {
		return u, err
	}
	if rev < t.rev || rev > h.Revision {
		return u, fmt.Errorf("%w: a list at %d, from a member at %d, after %d", ErrProtocol, rev, h.Revision, t.rev)
	}
	if len(kvs) > t.most+1 { // and the one that confirms
		return u, fmt.Errorf("%w: %d, at most %d can be taken", ErrTooManyKeys, len(kvs), t.most)
	}
	for _, kv := range kvs {
		// What stands since before the last revision that is sure must have been there then.
		if kv.ModRevision <= t.sure && t.keys[string(kv.Key)].mod != kv.ModRevision {
			return u, fmt.Errorf("%w: %q is of revision %d, was of %d at %d", ErrForeignHistory, kv.Key, kv.ModRevision,
				t.keys[string(kv.Key)].mod, t.sure)
		}
	}
	next := make(map[string]key, len(kvs))
	u = Update{Whole: true, Revision: rev}
	for _, kv := range kvs {
		k, odd := t.read(kv)
		if odd != "" {
			u.Unusable = append(u.Unusable, odd)
		}
		next[string(kv.Key)] = k
		t.confirmed(kv, &u)
	}
	t.keys, t.rev, t.sure = next, rev, rev
	t.note(h)
	u.Hosts = t.Hosts()
	return u, nil
}

// Hosts are all that the keys list, by name.
func (t *Tracker) Hosts() []dispatch.Host {
	hosts := make([]dispatch.Host, 0, len(t.keys))
	for _, k := range t.keys {
		if k.good {
			hosts = append(hosts, k.host)
		}
	}
	slices.SortFunc(hosts, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// read reads one key's value. One that cannot be used leaves the host as it was.
func (t *Tracker) read(kv *mvccpb.KeyValue) (k key, odd string) {
	name := strings.TrimPrefix(string(kv.Key), t.prefix)
	k = key{mod: kv.ModRevision, sum: xxhash.Sum64(kv.Value)}
	if name == ConfirmKey {
		return k, ""
	}
	h, _, err := entryformat.JSON(kv.Value)
	switch {
	case err != nil:
	case h.Name != name:
		err = fmt.Errorf("is of %q", h.Name)
	case h.Status == dispatch.Removed:
		err = errors.New("status Gone: delete the key")
	}
	if err == nil {
		k.host, k.good = h, true
		return k, ""
	}
	if old := t.keys[string(kv.Key)]; old.good {
		k.host, k.good, k.stale = old.host, true, true
	}
	return k, fmt.Sprintf("%s: %v", kv.Key, err)
}

// confirmed notes what is confirmed.
func (t *Tracker) confirmed(kv *mvccpb.KeyValue, u *Update) {
	if string(kv.Key) != t.prefix+ConfirmKey {
		return
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(kv.Value)), 10, 63)
	if err != nil {
		u.Unusable = append(u.Unusable, fmt.Sprintf("%s: not a revision", kv.Key))
	} else {
		u.Confirm = n
	}
}

// Events takes changes as a watch tells them: all of the revisions that they are of. Those that were seen before are
// passed over.
func (t *Tracker) ApplyEvents(h *etcdserverpb.ResponseHeader, events []*mvccpb.Event) (list []Update, err error) {
	if h == nil || t.cluster != h.ClusterId {
		return nil, t.follows(h)
	}
	last := int64(0)
	for _, e := range events {
		switch {
		case e.Kv == nil || !strings.HasPrefix(string(e.Kv.Key), t.prefix):
			return nil, fmt.Errorf("%w: a change of a key outside of %q", ErrProtocol, t.prefix)
		case e.Kv.ModRevision > h.Revision:
			return nil, fmt.Errorf("%w: a change at %d, told at %d", ErrProtocol, e.Kv.ModRevision, h.Revision)
		case e.Kv.ModRevision < last:
			return nil, fmt.Errorf("%w: a change at %d told after one at %d", ErrProtocol, e.Kv.ModRevision, last)
		}
		last = e.Kv.ModRevision
		if last > t.sure && last <= t.rev && !t.seen(e) {
			return nil, fmt.Errorf("%w: %q at %d, told after %d", ErrMissedChange, e.Kv.Key, last, t.rev)
		}
	}
	if err := t.follows(h); err != nil && !errors.Is(err, ErrBehind) { // what comes twice is told by an older header
		return nil, err
	}
	for len(events) > 0 {
		rev, n := events[0].Kv.ModRevision, 0
		for n < len(events) && events[n].Kv.ModRevision == rev {
			n++
		}
		if rev > t.rev {
			u, err := t.change(rev, events[:n])
			if err != nil {
				return list, err
			}
			list = append(list, u)
		}
		events = events[n:]
	}
	t.note(h)
	return list, nil
}

// seen tells whether a change of a revision that is past is known, or what came after it.
func (t *Tracker) seen(e *mvccpb.Event) bool {
	k, there := t.keys[string(e.Kv.Key)]
	if e.Type == mvccpb.Event_DELETE {
		return !there || k.mod > e.Kv.ModRevision
	}
	return there && k.mod >= e.Kv.ModRevision
}

// change takes the changes of one revision.
func (t *Tracker) change(rev int64, events []*mvccpb.Event) (u Update, err error) {
	u.Revision = rev
	for _, e := range events {
		name := string(e.Kv.Key)
		old, there := t.keys[name]
		if e.Type == mvccpb.Event_DELETE {
			delete(t.keys, name)
			if old.good {
				old.host.Status = dispatch.Removed
				u.Hosts = append(u.Hosts, old.host)
			}
			continue
		}
		if !there && len(t.keys) > t.most {
			return u, fmt.Errorf("%w: over %d", ErrTooManyKeys, t.most)
		}
		k, odd := t.read(e.Kv)
		if odd != "" {
			u.Unusable = append(u.Unusable, odd)
		}
		t.keys[name] = k
		t.confirmed(e.Kv, &u)
		if k.good && !k.stale {
			u.Hosts = append(u.Hosts, k.host)
		}
	}
	t.rev = rev
	slices.SortFunc(u.Hosts, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return u, nil
}

// Progress takes a word that all changes up to the header's revision were told.
func (t *Tracker) ApplyProgress(h *etcdserverpb.ResponseHeader) error {
	if err := t.follows(h); err != nil {
		return err
	}
	t.rev = h.Revision
	t.note(h)
	return nil
}

// Check is what the keys must be at a revision.
type Check struct {
	Revision int64
	mods     map[string]int64
	sure     int64
}

// Check gives what a list of the keys at Revision must show, for as long as it takes to get one.
func (t *Tracker) BeginCheck() *Check {
	c := &Check{t.rev, make(map[string]int64, len(t.keys)), t.sure}
	for name, k := range t.keys {
		c.mods[name] = k.mod
	}
	return c
}

// Checked takes the keys as they were at the check's revision; values are not looked at.
func (t *Tracker) FinishCheck(c *Check, h *etcdserverpb.ResponseHeader, kvs []*mvccpb.KeyValue) error {
	if h == nil || t.cluster != h.ClusterId || h.Revision < c.Revision || h.RaftTerm < t.term {
		if err := t.follows(h); err != nil {
			return err
		}
	}
	left := maps.Clone(c.mods)
	for _, kv := range kvs {
		mod, there := left[string(kv.Key)]
		if there && mod == kv.ModRevision {
			delete(left, string(kv.Key))
			continue
		}
		if kv.ModRevision <= c.sure {
			return fmt.Errorf("%w: %q is of revision %d, was of %d at %d", ErrForeignHistory, kv.Key, kv.ModRevision, mod, c.sure)
		}
		return fmt.Errorf("%w: %q at %d", ErrMissedChange, kv.Key, kv.ModRevision)
	}
	for name := range left {
		return fmt.Errorf("%w: the end of %q, up to %d", ErrMissedChange, name, c.Revision)
	}
	t.sure = max(t.sure, c.Revision)
	t.note(h)
	return nil
}
