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

// ConfirmKey is the name under the prefix whose value, a revision in decimal digits, confirms what was held up to
// that revision.
const ConfirmKey = "@confirm"

// Errors of a Tracker; they come wrapped.
var (
	// ErrBehind means that a member is behind what was seen: it lags, or it was restored from a backup.
	ErrBehind = errors.New("the member is behind what was seen")
	// ErrForeignHistory means that a member's state cannot follow from what was seen: it is another cluster, or a
	// backup.
	ErrForeignHistory = errors.New("the history is another one")
	// ErrMissedChange means that a change was missed and the list has to be read again.
	ErrMissedChange = errors.New("a change was missed")
	// ErrProtocol means that a member sent what etcd never sends.
	ErrProtocol = errors.New("the member contradicts itself")
	// ErrTooManyKeys means that there are more keys than the maximum of hosts allows.
	ErrTooManyKeys = errors.New("too many keys")
)

// Update is a set of changes, all at one revision.
type Update struct {
	Whole    bool            // Hosts is every host; else those that changed, where a host with status dispatch.Removed has left
	Revision int64           // up to which the list is complete
	Hosts    []dispatch.Host // sorted by name
	Unusable []string        // what is wrong with the values that cannot be used
	Confirm  uint64          // changes that were held up to this revision are confirmed; 0 = no statement
}

// Tracker keeps the state of the keys under a prefix, and checks whether new data can follow from it. It is pure:
// no I/O, no lock, no clock. It holds one entry for each key, at most maxHosts of them and the one for ConfirmKey.
type Tracker struct {
	prefix      string
	maxHosts    int
	cluster     uint64 // 0 = none was seen yet
	term        uint64 // the highest seen
	rev         int64  // up to which all changes were seen; 0 = no list yet
	verifiedRev int64  // up to which a list or a check has verified the keys
	keys        map[string]key
}

// key is the state of one key.
type key struct {
	modRevision int64
	sum         uint64 // hash of its value
	hasHost     bool   // a value has described a host
	host        dispatch.Host
	stale       bool // the latest value cannot be used, host is from an earlier one
}

// NewTracker returns a tracker without data. It accepts the first cluster that it sees, unless one is named.
func NewTracker(prefix string, most int, cluster uint64) *Tracker {
	return &Tracker{prefix: prefix, maxHosts: most, cluster: cluster, keys: map[string]key{}}
}

// Revision returns the revision up to which all changes were seen; 0 = a list is needed first.
func (t *Tracker) Revision() int64 { return t.rev }

// Epoch returns the id of the cluster in the form of etcd's own tools: hexadecimal digits.
func (t *Tracker) Epoch() string { return strconv.FormatUint(t.cluster, 16) }

// ClusterID returns the cluster id that a history begins with. A history is an id in the form of etcd's own tools.
// If the operators have accepted a backup in place of the cluster that it was made of, a slash and any text
// follow, which tell that history from the one before.
func ClusterID(history string) (uint64, error) {
	id, _, _ := strings.Cut(history, "/")
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%q is not a cluster's name in hexadecimal digits", id)
	}
	return n, nil
}

// validateHeader checks that the sender of a header belongs to the cluster and is not behind what was seen.
func (t *Tracker) validateHeader(h *etcdserverpb.ResponseHeader) error {
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

func (t *Tracker) recordHeader(h *etcdserverpb.ResponseHeader) {
	t.cluster, t.term = h.ClusterId, max(t.term, h.RaftTerm)
}

// ApplyList replaces the keys by all keys as they were at a revision.
func (t *Tracker) ApplyList(h *etcdserverpb.ResponseHeader, rev int64, kvs []*mvccpb.KeyValue) (u Update, err error) {
	if err := t.validateHeader(h); err != nil {
		return u, err
	}
	if rev < t.rev || rev > h.Revision {
		return u, fmt.Errorf("%w: a list at %d, from a member at %d, after %d", ErrProtocol, rev, h.Revision, t.rev)
	}
	if len(kvs) > t.maxHosts+1 { // one more for ConfirmKey
		return u, fmt.Errorf("%w: %d, at most %d can be taken", ErrTooManyKeys, len(kvs), t.maxHosts)
	}
	for _, kv := range kvs {
		// A key that was last changed up to the verified revision must have been known then.
		if kv.ModRevision <= t.verifiedRev && t.keys[string(kv.Key)].modRevision != kv.ModRevision {
			return u, fmt.Errorf("%w: %q is of revision %d, was of %d at %d", ErrForeignHistory, kv.Key, kv.ModRevision,
				t.keys[string(kv.Key)].modRevision, t.verifiedRev)
		}
	}
	next := make(map[string]key, len(kvs))
	u = Update{Whole: true, Revision: rev}
	for _, kv := range kvs {
		k, problem := t.parse(kv)
		if problem != "" {
			u.Unusable = append(u.Unusable, problem)
		}
		next[string(kv.Key)] = k
		t.parseConfirm(kv, &u)
	}
	t.keys, t.rev, t.verifiedRev = next, rev, rev
	t.recordHeader(h)
	u.Hosts = t.Hosts()
	return u, nil
}

// Hosts returns all hosts that the keys describe, sorted by name.
func (t *Tracker) Hosts() []dispatch.Host {
	hosts := make([]dispatch.Host, 0, len(t.keys))
	for _, k := range t.keys {
		if k.hasHost {
			hosts = append(hosts, k.host)
		}
	}
	slices.SortFunc(hosts, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// parse parses the value of a key. One that cannot be used leaves the host as it was.
func (t *Tracker) parse(kv *mvccpb.KeyValue) (k key, problem string) {
	name := strings.TrimPrefix(string(kv.Key), t.prefix)
	k = key{modRevision: kv.ModRevision, sum: xxhash.Sum64(kv.Value)}
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
		k.host, k.hasHost = h, true
		return k, ""
	}
	if old := t.keys[string(kv.Key)]; old.hasHost {
		k.host, k.hasHost, k.stale = old.host, true, true
	}
	return k, fmt.Sprintf("%s: %v", kv.Key, err)
}

// parseConfirm stores the value of ConfirmKey in an update.
func (t *Tracker) parseConfirm(kv *mvccpb.KeyValue, u *Update) {
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

// ApplyEvents applies the events of a watch, which must include all of each revision. Events that were seen before
// are skipped.
func (t *Tracker) ApplyEvents(h *etcdserverpb.ResponseHeader, events []*mvccpb.Event) (list []Update, err error) {
	if h == nil || t.cluster != h.ClusterId {
		return nil, t.validateHeader(h)
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
		if last > t.verifiedRev && last <= t.rev && !t.alreadySeen(e) {
			return nil, fmt.Errorf("%w: %q at %d, told after %d", ErrMissedChange, e.Kv.Key, last, t.rev)
		}
	}
	if err := t.validateHeader(h); err != nil && !errors.Is(err, ErrBehind) { // repeated events may come with an older header
		return nil, err
	}
	for len(events) > 0 {
		rev, n := events[0].Kv.ModRevision, 0
		for n < len(events) && events[n].Kv.ModRevision == rev {
			n++
		}
		if rev > t.rev {
			u, err := t.applyRevision(rev, events[:n])
			if err != nil {
				return list, err
			}
			list = append(list, u)
		}
		events = events[n:]
	}
	t.recordHeader(h)
	return list, nil
}

// alreadySeen reports whether an event at a past revision, or a later one for the same key, is known.
func (t *Tracker) alreadySeen(e *mvccpb.Event) bool {
	k, exists := t.keys[string(e.Kv.Key)]
	if e.Type == mvccpb.Event_DELETE {
		return !exists || k.modRevision > e.Kv.ModRevision
	}
	return exists && k.modRevision >= e.Kv.ModRevision
}

// applyRevision applies the events of one revision.
func (t *Tracker) applyRevision(rev int64, events []*mvccpb.Event) (u Update, err error) {
	u.Revision = rev
	for _, e := range events {
		name := string(e.Kv.Key)
		old, exists := t.keys[name]
		if e.Type == mvccpb.Event_DELETE {
			delete(t.keys, name)
			if old.hasHost {
				old.host.Status = dispatch.Removed
				u.Hosts = append(u.Hosts, old.host)
			}
			continue
		}
		if !exists && len(t.keys) > t.maxHosts {
			return u, fmt.Errorf("%w: over %d", ErrTooManyKeys, t.maxHosts)
		}
		k, problem := t.parse(e.Kv)
		if problem != "" {
			u.Unusable = append(u.Unusable, problem)
		}
		t.keys[name] = k
		t.parseConfirm(e.Kv, &u)
		if k.hasHost && !k.stale {
			u.Hosts = append(u.Hosts, k.host)
		}
	}
	t.rev = rev
	slices.SortFunc(u.Hosts, func(a, b dispatch.Host) int { return strings.Compare(a.Name, b.Name) })
	return u, nil
}

// ApplyProgress records that all changes up to the header's revision were received.
func (t *Tracker) ApplyProgress(h *etcdserverpb.ResponseHeader) error {
	if err := t.validateHeader(h); err != nil {
		return err
	}
	t.rev = h.Revision
	t.recordHeader(h)
	return nil
}

// Check holds the expected keys at a revision.
type Check struct {
	Revision     int64
	modRevisions map[string]int64
	verifiedRev  int64
}

// BeginCheck returns what a list of the keys at the present revision must contain. It stays valid while such a
// list is being read.
func (t *Tracker) BeginCheck() *Check {
	c := &Check{t.rev, make(map[string]int64, len(t.keys)), t.verifiedRev}
	for name, k := range t.keys {
		c.modRevisions[name] = k.modRevision
	}
	return c
}

// FinishCheck compares the keys as they were at the check's revision with the expected ones, but not their values.
func (t *Tracker) FinishCheck(c *Check, h *etcdserverpb.ResponseHeader, kvs []*mvccpb.KeyValue) error {
	if h == nil || t.cluster != h.ClusterId || h.Revision < c.Revision || h.RaftTerm < t.term {
		if err := t.validateHeader(h); err != nil {
			return err
		}
	}
	missing := maps.Clone(c.modRevisions)
	for _, kv := range kvs {
		mod, exists := missing[string(kv.Key)]
		if exists && mod == kv.ModRevision {
			delete(missing, string(kv.Key))
			continue
		}
		if kv.ModRevision <= c.verifiedRev {
			return fmt.Errorf("%w: %q is of revision %d, was of %d at %d", ErrForeignHistory, kv.Key, kv.ModRevision, mod, c.verifiedRev)
		}
		return fmt.Errorf("%w: %q at %d", ErrMissedChange, kv.Key, kv.ModRevision)
	}
	for name := range missing {
		return fmt.Errorf("%w: the end of %q, up to %d", ErrMissedChange, name, c.Revision)
	}
	t.verifiedRev = max(t.verifiedRev, c.Revision)
	t.recordHeader(h)
	return nil
}
